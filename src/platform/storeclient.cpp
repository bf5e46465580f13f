#include "platform/storeclient.h"

#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include "base/base64.h"
#include "base/hash.h"
#include "base/status.h"
#include "base/text.h"
#include "platform/jsonfields.h"
#include "process/clock/clock.h"
#include "process/clock/pause.h"

namespace nutmegplank::platform {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;
namespace journal = version::journal;
using journal::AppendOutcome;

constexpr auto CONNECT_TIMEOUT = std::chrono::milliseconds(350);
constexpr auto NEWEST_TIMEOUT = journal::ReadTimes().grace;
constexpr auto USER_TIMEOUT = std::chrono::milliseconds(2500);
constexpr auto MAX_READ_KILOBYTES = 1024;
//! A page of MAX_READ_KILOBYTES may exceed them by one record; some reads run at a time.
constexpr auto MAX_ANSWER_BYTES = std::uint64_t(8 * 1024 * 1024);
//! Delay before a snapshot page that got status 429 is requested again. The random part spreads the
//! retries of machines that started together.
constexpr auto RETRY_PAUSE = std::chrono::milliseconds(100);
constexpr auto RETRY_JITTER_MS = std::uint64_t(300);
constexpr auto MAX_PAGE_RETRIES = 60;
constexpr auto STATUS_OK = 200U;
constexpr auto STATUS_BAD_REQUEST = 400U;
constexpr auto STATUS_REQUEST_TIMEOUT = 408U;
constexpr auto STATUS_CONFLICT = 409U;
constexpr auto STATUS_GONE = 410U;
constexpr auto STATUS_PRECONDITION_FAILED = 412U;
constexpr auto STATUS_MISDIRECTED = 421U;
constexpr auto STATUS_TOO_EARLY = 425U;
constexpr auto STATUS_SERVER_ERROR = 500U;
constexpr auto STATUS_UNAVAILABLE = 503U;
constexpr auto STATUS_TOO_MANY_REQUESTS = 429U;
constexpr auto OFFSET_BYTES = std::size_t(8);
constexpr auto LENGTH_BYTES = std::size_t(4);

auto retryPause() -> base::Duration
{
    return RETRY_PAUSE
        + std::chrono::milliseconds(base::hash64(base::randomId()) % RETRY_JITTER_MS);
}

auto appendLength(std::string &output, std::size_t length) -> void
{
    for (auto shift = 24; shift >= 0; shift -= 8)
        output += static_cast<char>((length >> shift) & 0xFFU);
}

auto decodeBigEndian(std::string_view bytes) -> std::uint64_t
{
    auto number = std::uint64_t(0);
    for (const auto byte : bytes)
        number = (number << 8U) | static_cast<std::uint8_t>(byte);
    return number;
}

//! A read response is binary, in big-endian order: the partition's end offset and first retained
//! offset (8 bytes each), then the records, each preceded by its length (4 bytes).
auto parsePage(std::string_view body, std::uint64_t from) -> std::optional<journal::Page>
{
    if (body.size() < 2 * OFFSET_BYTES)
        return std::nullopt;
    auto page = journal::Page();
    page.end = decodeBigEndian(body.substr(0, OFFSET_BYTES));
    page.first = decodeBigEndian(body.substr(OFFSET_BYTES, OFFSET_BYTES));
    body.remove_prefix(2 * OFFSET_BYTES);
    auto offset = from;
    while (body.size() >= LENGTH_BYTES) {
        const auto length = decodeBigEndian(body.substr(0, LENGTH_BYTES));
        if (body.size() < LENGTH_BYTES + length)
            return std::nullopt;
        page.records.push_back({ offset++, std::string(body.substr(LENGTH_BYTES, length)) });
        body.remove_prefix(LENGTH_BYTES + length);
    }
    return page;
}

//! Whether the same append would be refused again, e.g. since a record is too large.
auto isLasting(std::uint32_t status) -> bool
{
    return status >= STATUS_BAD_REQUEST && status < STATUS_SERVER_ERROR
        && status != STATUS_REQUEST_TIMEOUT && status != STATUS_MISDIRECTED
        && status != STATUS_TOO_EARLY && status != STATUS_TOO_MANY_REQUESTS;
}

auto parseRefusedAppend(const http::Response &response) -> journal::AppendResult
{
    auto result = journal::AppendResult();
    result.detail = base::concat("status ", response.status);
    const auto body = parseObject(response.body).value_or(boost::json::object());
    switch (response.status) {
    case STATUS_PRECONDITION_FAILED:
        result.outcome = AppendOutcome::Conflict;
        result.end = unsignedField(body, "end").value_or(0);
        return result;
    case STATUS_CONFLICT: {
        // "why": "seq" is a wrong sequence number, other values a fenced producer; "sequence" is
        // the expected number.
        const auto why = stringField(body, "why").value_or("");
        result.outcome = why == "seq" ? AppendOutcome::Sequence : AppendOutcome::Fenced;
        result.end = unsignedField(body, "sequence").value_or(0);
        result.detail = base::concat("status 409, ", why);
        return result;
    }
    default:
        // Statuses such as 429, 503 and 507 mean that the store has written nothing.
        result.outcome =
            isLasting(response.status) ? AppendOutcome::Rejected : AppendOutcome::NotWritten;
        return result;
    }
}

} // namespace

StoreClient::StoreClient(std::string endpoint, journal::AppendLimits limits,
                         process::metrics::Registry &metrics)
    : m_endpoint(std::move(endpoint))
    , m_limits(limits)
    , m_calls(metrics.counter("nutmegplank_store_calls_total", "Calls to the platform's store."))
    , m_failures(metrics.counter("nutmegplank_store_failures_total",
                                 "Calls to the platform's store without a good answer."))
    , m_appendSeconds(
          metrics.distribution("nutmegplank_store_append_seconds", "Duration of appends."))
{
    auto options = connection::backend::BackendPoolOptions();
    options.connect.timeout = CONNECT_TIMEOUT;
    options.connect.userTimeout = USER_TIMEOUT;
    options.connect.bodyBytes = MAX_ANSWER_BYTES;
    m_pool = std::make_shared<connection::backend::BackendPool>(m_endpoint, options);
}

auto StoreClient::call(http::Request request, base::Duration timeout) -> asio::awaitable<CallResult>
{
    m_calls.add();
    auto exchange = co_await sendOverPool(m_pool, std::move(request), timeout);
    if (!exchange.response.ok()) {
        m_failures.add();
        // The cause of one failed connection may have affected all pooled connections.
        m_pool->clear();
    } else if (exchange.response->status == STATUS_UNAVAILABLE
               || exchange.response->status == STATUS_TOO_MANY_REQUESTS) {
        m_failures.add();
    }
    co_return exchange;
}

auto StoreClient::malformedResponse(std::string_view what, std::string_view operation) const
    -> absl::Status
{
    return base::makeError(absl::StatusCode::kUnavailable, what,
                           { std::string(operation), m_endpoint });
}

auto StoreClient::unexpectedStatus(std::uint32_t status, std::string_view operation) const
    -> absl::Status
{
    return base::makeError(absl::StatusCode::kUnavailable, base::concat("status ", status),
                           { std::string(operation), m_endpoint });
}

auto StoreClient::append(journal::Partition partition, std::vector<std::string> records,
                         journal::AppendCondition condition, base::Duration timeout)
    -> asio::awaitable<journal::AppendResult>
{
    auto request = http::Request();
    request.method = "POST";
    request.target =
        base::concat("/v1/log-append?topic=", partition.topic, "&part=", partition.number);
    if (condition.at.has_value())
        request.target += base::concat("&at=", *condition.at);
    if (condition.producer.has_value())
        request.target += base::concat("&producer=", condition.producer->name,
                                       "&epoch=", condition.producer->epoch,
                                       "&sequence=", condition.producer->sequence);
    for (const auto &record : records) {
        appendLength(request.body, record.size());
        request.body += record;
    }
    const auto startedAt = process::clock::now();
    auto exchange = co_await call(std::move(request), timeout);
    m_appendSeconds.record(process::clock::now() - startedAt);
    auto result = journal::AppendResult();
    if (!exchange.response.ok()) {
        result.outcome = exchange.sent ? AppendOutcome::Unknown : AppendOutcome::NotWritten;
        result.detail = base::describe(exchange.response.status());
        co_return result;
    }
    if (exchange.response->status != STATUS_OK)
        co_return parseRefusedAppend(*exchange.response);
    const auto body = parseObject(exchange.response->body).value_or(boost::json::object());
    const auto offset = unsignedField(body, "offset");
    const auto end = unsignedField(body, "end");
    if (!offset.has_value() || !end.has_value()) {
        // The records were written at an unknown offset.
        result.detail = "status 200 without offset and end";
        co_return result;
    }
    result.outcome = AppendOutcome::Done;
    result.offset = *offset;
    result.end = *end;
    co_return result;
}

auto StoreClient::read(journal::Partition partition, std::uint64_t from, journal::ReadTimes times)
    -> asio::awaitable<absl::StatusOr<journal::Page>>
{
    auto request = http::Request();
    request.target =
        base::concat("/v1/log-read?topic=", partition.topic, "&part=", partition.number,
                     "&from=", from, "&max_kb=", MAX_READ_KILOBYTES);
    if (times.wait.count() > 0)
        request.target += base::concat("&wait_ms=", base::toMilliseconds(times.wait));
    const auto exchange = co_await call(std::move(request), times.wait + times.grace);
    if (!exchange.response.ok())
        co_return exchange.response.status();
    const auto &response = *exchange.response;
    if (response.status == STATUS_GONE) {
        const auto body = parseObject(response.body).value_or(boost::json::object());
        const auto first = unsignedField(body, "first");
        if (!first.has_value())
            co_return malformedResponse("status 410 without the first offset", "store.read");
        auto page = journal::Page();
        page.first = *first;
        page.compacted = true;
        co_return page;
    }
    if (response.status != STATUS_OK)
        co_return unexpectedStatus(response.status, "store.read");
    auto page = parsePage(response.body, from);
    if (!page.has_value())
        co_return malformedResponse("records that end too early", "store.read");
    co_return std::move(*page);
}

auto StoreClient::newest(std::string topic) -> asio::awaitable<absl::StatusOr<journal::KeyedPage>>
{
    auto snapshot = journal::KeyedPage();
    auto after = std::string();
    auto firstPage = true;
    auto refusals = 0;
    while (true) {
        auto request = http::Request();
        request.target = base::concat("/v1/log-newest?topic=", topic, "&part=0");
        if (!after.empty())
            request.target +=
                base::concat("&after=", boost::urls::encode(after, boost::urls::unreserved_chars));
        const auto exchange = co_await call(std::move(request), NEWEST_TIMEOUT);
        if (!exchange.response.ok())
            co_return exchange.response.status();
        const auto body = parseObject(exchange.response->body);
        // Retry only the refused page: a snapshot of many pages would never complete if each
        // refusal restarted it.
        if (exchange.response->status == STATUS_TOO_MANY_REQUESTS
            && ++refusals <= MAX_PAGE_RETRIES) {
            co_await process::clock::pauseFor(retryPause());
            continue;
        }
        if (exchange.response->status != STATUS_OK)
            co_return unexpectedStatus(exchange.response->status, "store.newest");
        if (!body.has_value())
            co_return malformedResponse("a page that is no JSON object", "store.newest");
        // The pages are not one consistent snapshot. Reading on from the end that the first page
        // reported misses no record.
        if (std::exchange(firstPage, false)) {
            const auto end = unsignedField(*body, "end");
            if (!end.has_value())
                co_return malformedResponse("a page without the partition's end", "store.newest");
            snapshot.end = *end;
        }
        const auto *items = arrayField(*body, "items");
        for (const auto &value : items == nullptr ? boost::json::array() : *items) {
            const auto *item = value.if_object();
            if (item == nullptr)
                co_return malformedResponse("an item that is no object", "store.newest");
            auto record = journal::KeyedRecord();
            const auto key = stringField(*item, "key");
            const auto decodedValue = base::decodeBase64(stringField(*item, "value").value_or(""));
            const auto offset = unsignedField(*item, "offset");
            if (!key.has_value() || !decodedValue.has_value() || !offset.has_value())
                co_return malformedResponse("an item without key, value or offset", "store.newest");
            record.key = *key;
            record.value = *decodedValue;
            record.offset = *offset;
            after = record.key;
            snapshot.records.push_back(std::move(record));
        }
        if (!boolField(*body, "has_more").value_or(false))
            co_return snapshot;
        if (items == nullptr || items->empty())
            co_return malformedResponse("a page without items that is not the last",
                                        "store.newest");
    }
}

} // namespace nutmegplank::platform
