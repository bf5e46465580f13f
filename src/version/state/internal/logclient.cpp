#include "version/state/internal/logclient.h"

#include <boost/json.hpp>

#include "base/jsonreader.h"
#include "base/status.h"
#include "base/text.h"
#include "process/clock/clock.h"
#include "version/state/internal/recordreader.h"

namespace nutmegplank::version::state {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;
namespace json = boost::json;

constexpr auto HTTP_OK = 200U;
constexpr auto HTTP_CREATED = 201U;
constexpr auto HTTP_GONE = 410U;
constexpr auto HTTP_TOO_MANY_REQUESTS = 429U;
constexpr auto HTTP_BAD_REQUEST = 400U;
constexpr auto HTTP_SERVER_ERROR = 500U;
constexpr auto CONNECT_TIMEOUT = std::chrono::seconds(1);
//! Added to the wait time of a read to get the timeout of its response.
constexpr auto READ_RESPONSE_MARGIN = std::chrono::seconds(1);
constexpr auto MIN_EXCHANGE_TIMEOUT = base::Duration(1000);

auto statusCodeForHttp(std::uint32_t status) -> absl::StatusCode
{
    if (status == HTTP_TOO_MANY_REQUESTS)
        return absl::StatusCode::kResourceExhausted;
    if (status >= HTTP_BAD_REQUEST && status < HTTP_SERVER_ERROR)
        return absl::StatusCode::kInvalidArgument;
    return absl::StatusCode::kUnavailable;
}

auto malformedResponse(const std::string &endpoint, std::string_view problem) -> absl::Status
{
    return base::makeError(absl::StatusCode::kUnavailable, problem, { "log.parse", endpoint });
}

auto parseReadResponse(const std::string &endpoint, const std::string &body)
    -> absl::StatusOr<LogRead>
{
    const auto value = base::parseJson(body);
    if (!value.ok() || !value->is_object())
        return malformedResponse(endpoint, "the answer is no JSON object");
    auto reader = recordReader(value->as_object());
    auto read = LogRead();
    read.first = readNumber(reader, "first", 0);
    read.next = readNumber(reader, "next", 0);
    for (auto &nested : reader.objects("records")) {
        auto record = Record();
        record.offset = readNumber(nested, "offset");
        record.id = nested.string("id");
        const auto recordBody = nested.raw("body");
        if (!recordBody.is_object())
            nested.fail("body", "must be an object");
        else
            record.body = recordBody.as_object();
        reader.absorb(nested);
        read.records.push_back(std::move(record));
    }
    const auto status = reader.finish();
    if (!status.ok())
        return malformedResponse(endpoint, base::toStd(status.message()));
    return read;
}

} // namespace

LogClient::LogClient(std::string endpoint)
    : m_endpoint(std::move(endpoint))
{ }

auto LogClient::read(std::uint64_t from, std::uint32_t maxRecords, base::Duration wait)
    -> asio::awaitable<absl::StatusOr<LogRead>>
{
    auto request = http::Request();
    request.target = base::concat("/v1/records?from=", from, "&max=", maxRecords,
                                  "&wait_ms=", base::toMilliseconds(wait));
    const auto response = co_await exchange(std::move(request), wait + READ_RESPONSE_MARGIN);
    if (!response.ok())
        co_return response.status();
    if (response->status != HTTP_OK && response->status != HTTP_GONE)
        co_return base::makeError(statusCodeForHttp(response->status),
                                  base::concat("HTTP status ", response->status),
                                  { "log.read", m_endpoint });
    auto read = parseReadResponse(m_endpoint, response->body);
    if (read.ok())
        read->expired = response->status == HTTP_GONE;
    co_return read;
}

auto LogClient::append(std::string id, json::object body, base::Duration timeout)
    -> asio::awaitable<absl::StatusOr<std::uint64_t>>
{
    auto record = json::object { { "id", id }, { "body", std::move(body) } };
    auto request = http::Request();
    request.method = "POST";
    request.target = "/v1/records";
    request.headers.push_back(http::Header { "Content-Type", "application/json" });
    request.body = json::serialize(record);
    const auto response = co_await exchange(std::move(request), timeout);
    if (!response.ok())
        co_return response.status();
    if (response->status != HTTP_OK && response->status != HTTP_CREATED)
        co_return base::makeError(statusCodeForHttp(response->status),
                                  base::concat("HTTP status ", response->status),
                                  { "log.append", m_endpoint });
    const auto value = base::parseJson(response->body);
    if (!value.ok() || !value->is_object())
        co_return malformedResponse(m_endpoint, "the answer is no JSON object");
    auto reader = recordReader(value->as_object());
    const auto offset = readNumber(reader, "offset");
    const auto status = reader.finish();
    if (!status.ok())
        co_return malformedResponse(m_endpoint, base::toStd(status.message()));
    co_return offset;
}

auto LogClient::exchange(http::Request request, base::Duration timeout)
    -> asio::awaitable<absl::StatusOr<http::Response>>
{
    const auto deadline = process::clock::now() + timeout;
    auto connection = std::unique_ptr<http::IHttpConnection>();
    if (!m_idleConnections.empty()) {
        connection = std::move(m_idleConnections.back());
        m_idleConnections.pop_back();
    } else {
        auto options = http::ConnectOptions();
        options.timeout = std::min<base::Duration>(CONNECT_TIMEOUT, timeout);
        auto newConnection = co_await http::connect(m_endpoint, options);
        if (!newConnection.ok())
            co_return newConnection.status();
        connection = *std::move(newConnection);
    }
    const auto remaining = std::max(MIN_EXCHANGE_TIMEOUT, deadline - process::clock::now());
    auto response = co_await sendAndReadResponse(*connection, std::move(request), remaining);
    if (response.ok() && connection->reusable())
        m_idleConnections.push_back(std::move(connection));
    else if (!response.ok())
        m_idleConnections.clear();
    co_return response;
}

auto LogClient::sendAndReadResponse(http::IHttpConnection &connection, http::Request request,
                                    base::Duration timeout)
    -> asio::awaitable<absl::StatusOr<http::Response>>
{
    const auto sent = co_await connection.send(request, timeout);
    if (!sent.ok())
        co_return sent;
    auto response = co_await connection.readHead(timeout);
    if (!response.ok())
        co_return response;
    while (true) {
        auto bodyPart = co_await connection.readBody(timeout);
        if (!bodyPart.ok())
            co_return bodyPart.status();
        if (!bodyPart->has_value())
            co_return response;
        response->body += **bodyPart;
    }
}

} // namespace nutmegplank::version::state
