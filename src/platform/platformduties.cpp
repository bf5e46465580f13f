#include "platform/platformduties.h"

#include <boost/json.hpp>

#include "base/text.h"
#include "platform/platformcall.h"
#include "platform/wireheaders.h"

namespace nutmegplank::platform {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;
namespace json = boost::json;
using process::capacity::DutyOutcome;

//! Allows for a platform that responds fifty times slower than usual.
constexpr auto CALL_TIMEOUT = std::chrono::milliseconds(1500);
constexpr auto MAX_ANSWER_BYTES = std::uint64_t(64 * 1024);
constexpr auto CONNECT_TIMEOUT = std::chrono::milliseconds(700);

auto outcomeForStatus(std::uint32_t status) -> DutyOutcome
{
    switch (status) {
    case 200:
    case 202:
        return DutyOutcome::Accepted;
    case 409:
        return DutyOutcome::Conflict;
    case 429:
    case 503:
        return DutyOutcome::Busy;
    default:
        return DutyOutcome::Rejected;
    }
}

} // namespace

PlatformDuties::PlatformDuties(std::string endpoint, std::string holder,
                               version::leadership::FencedCalls &calls)
    : m_holder(std::move(holder))
    , m_calls(calls)
{
    auto options = connection::backend::BackendPoolOptions();
    options.connect.timeout = CONNECT_TIMEOUT;
    options.connect.bodyBytes = MAX_ANSWER_BYTES;
    m_pool = std::make_shared<connection::backend::BackendPool>(std::move(endpoint), options);
}

auto PlatformDuties::post(std::string path, std::string body, std::uint64_t fence)
    -> asio::awaitable<DutyOutcome>
{
    auto request = http::Request();
    request.method = "POST";
    request.target = std::move(path);
    request.headers = { { "Content-Type", "application/json" },
                        { wireheaders::LEASE_HOLDER, m_holder },
                        { wireheaders::FENCING_TOKEN, std::to_string(fence) } };
    request.body = std::move(body);
    const auto result =
        co_await sendFenced(m_pool, std::move(request), CALL_TIMEOUT, Fence { m_calls, fence });
    if (!result.response.ok())
        co_return result.sent ? DutyOutcome::NoAnswer : DutyOutcome::Busy;
    co_return outcomeForStatus(result.response->status);
}

auto PlatformDuties::reportUsage(version::metering::ClosedWindow window, std::uint64_t fence)
    -> asio::awaitable<DutyOutcome>
{
    auto counts = json::object();
    for (const auto &[workspace, requests] : window.counts)
        counts[workspace] = requests;
    auto body = json::object();
    body["window_id"] = window.window;
    body["counts"] = std::move(counts);
    return post("/usage", json::serialize(body), fence);
}

auto PlatformDuties::orderServers(process::capacity::CapacityOrder order, std::uint64_t fence)
    -> asio::awaitable<DutyOutcome>
{
    auto body = json::object();
    body["service"] = order.service;
    body["zone"] = order.zone;
    // "group_count" is the number of servers wanted in the zone.
    body["group_count"] = order.count;
    return post("/scale", json::serialize(body), fence);
}

} // namespace nutmegplank::platform
