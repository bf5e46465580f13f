#include "version/weights/enginestatus.h"

#include <algorithm>

#include "base/jsonreader.h"
#include "base/status.h"
#include "connection/http/httpclient.h"
#include "process/clock/clock.h"

namespace nutmegplank::version::weights {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;

constexpr auto POLL_TIMEOUT = base::Duration(std::chrono::seconds(1));
constexpr auto POLL_INTERVAL_LOADING = base::Duration(std::chrono::milliseconds(250));
constexpr auto POLL_INTERVAL_STALE = base::Duration(std::chrono::seconds(2));
constexpr auto POLL_INTERVAL_IDLE = base::Duration(std::chrono::seconds(10));
constexpr auto POLL_INTERVAL_FAILING = base::Duration(std::chrono::seconds(1));
//! Largest body of a status; an engine in trouble may send one without end.
constexpr auto MAX_STATUS_BYTES = std::uint64_t(64 * 1024);
constexpr auto POLL_FAILURES_UNTIL_UNKNOWN = 2U;
constexpr auto NUMBER_RANGE = base::IntegerRange { 0, std::numeric_limits<std::int64_t>::max() };
constexpr auto HTTP_OK = 200U;

auto malformedStatusError(const std::string &endpoint) -> absl::Status
{
    return base::makeError(absl::StatusCode::kInvalidArgument,
                           "response of the engine is not status 200 with a JSON object",
                           { "weights.status", endpoint });
}

} // namespace

auto fetchStatus(std::string endpoint) -> asio::awaitable<absl::StatusOr<EngineStatus>>
{
    auto request = http::Request();
    request.target = "/v1/status";
    auto options = http::ConnectOptions();
    options.bodyBytes = MAX_STATUS_BYTES;
    const auto response = co_await http::fetch(endpoint, std::move(request), POLL_TIMEOUT, options);
    if (!response.ok())
        co_return response.status();
    const auto body = base::parseJson(response->body);
    if (response->status != HTTP_OK || !body.ok() || !body->is_object())
        co_return malformedStatusError(endpoint);
    auto reader = base::ObjectReader(*body, endpoint);
    auto status = EngineStatus();
    status.bootId = reader.string("boot_id", "");
    status.model = reader.string("model", "");
    status.weightVersion =
        static_cast<std::uint64_t>(reader.integer("weight_version", NUMBER_RANGE, 0));
    status.running = static_cast<std::uint32_t>(reader.integer("running", NUMBER_RANGE, 0));
    status.receivedAt = process::clock::now();
    co_return status;
}

auto StatusCache::beginPollIfDue(const process::inventory::BackendServer &server,
                                 const process::reports::ServerLoads &loads, bool loadInProgress,
                                 base::TimePoint now) -> bool
{
    auto &entry = m_entries[server.id];
    if (entry.pollInFlight)
        return false;
    const auto load = loads.find(server.id);
    auto interval = POLL_INTERVAL_IDLE;
    if (load == loads.end() || !entry.status
        || load->second.weightVersion < entry.status->weightVersion)
        interval = POLL_INTERVAL_STALE;
    if (!entry.status || entry.failures > 0)
        interval = POLL_INTERVAL_FAILING;
    if (loadInProgress)
        interval = POLL_INTERVAL_LOADING;
    const auto neverPolled = entry.lastPoll == base::TimePoint();
    if (!neverPolled && now - entry.lastPoll < interval)
        return false;
    entry.lastPoll = now;
    entry.pollInFlight = true;
    return true;
}

auto StatusCache::store(const std::string &server, absl::StatusOr<EngineStatus> status,
                        base::TimePoint now) -> void
{
    const auto found = m_entries.find(server);
    if (found == m_entries.end())
        return;
    auto &entry = found->second;
    entry.pollInFlight = false;
    entry.lastPoll = now;
    if (status.ok()) {
        entry.failures = 0;
        entry.status = *status;
        return;
    }
    if (++entry.failures >= POLL_FAILURES_UNTIL_UNKNOWN)
        entry.status.reset();
}

auto StatusCache::find(const std::string &server) const -> const EngineStatus *
{
    const auto found = m_entries.find(server);
    return found == m_entries.end() || !found->second.status ? nullptr : &*found->second.status;
}

auto StatusCache::keepOnly(const process::inventory::ServerView &view) -> void
{
    std::erase_if(m_entries, [&](const auto &entry) { return view.find(entry.first) == nullptr; });
}

} // namespace nutmegplank::version::weights
