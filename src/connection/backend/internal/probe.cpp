#include "connection/backend/probe.h"

#include <boost/json.hpp>

#include "base/jsonreader.h"
#include "base/status.h"
#include "connection/http/httpclient.h"

namespace nutmegplank::connection::backend {

namespace {

constexpr auto SERVER_ERROR = 500U;
//! Largest body of a status; a server in trouble may send one without end.
constexpr auto MAX_STATUS_BYTES = std::uint64_t(64 * 1024);
constexpr auto COUNT_RANGE = base::IntegerRange { 0, std::numeric_limits<std::int64_t>::max() };

auto readStatus(const std::string &body, ProbeResult &result) -> void
{
    const auto parsed = base::parseJson(body);
    if (!parsed.ok() || !parsed->is_object())
        return;
    auto reader = base::ObjectReader(*parsed, "status");
    result.cold = reader.boolean("cold", false);
    result.running = static_cast<std::uint32_t>(reader.integer("running", COUNT_RANGE, 0));
    const auto version = reader.integer("weight_version", COUNT_RANGE, 0);
    result.weightVersion = static_cast<std::uint64_t>(version);
    const auto bootId = reader.string("boot_id", "");
    if (!bootId.empty())
        result.bootId = bootId;
}

} // namespace

auto probe(std::string endpoint, ProbeKind kind, base::Duration timeout)
    -> boost::asio::awaitable<ProbeResult>
{
    auto request = http::Request();
    request.target = kind == ProbeKind::Engine ? "/v1/status" : "/health";
    request.headers.push_back({ "Connection", "close" });
    auto options = http::ConnectOptions();
    options.timeout = timeout;
    options.bodyBytes = MAX_STATUS_BYTES;
    auto result = ProbeResult();
    const auto answer = co_await http::fetch(endpoint, request, timeout, options);
    if (!answer.ok()) {
        const auto connected = base::errorPlace(answer.status()).step != "http.connect";
        result.verdict = connected ? ProbeVerdict::Silent : ProbeVerdict::Dead;
        co_return result;
    }
    const auto usable = answer->status < SERVER_ERROR;
    result.verdict = usable ? ProbeVerdict::Alive : ProbeVerdict::Silent;
    result.bootId = http::headerValue(answer->headers, "X-Boot-Id");
    readStatus(answer->body, result);
    co_return result;
}

} // namespace nutmegplank::connection::backend
