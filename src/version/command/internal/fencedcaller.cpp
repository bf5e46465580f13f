#include "version/command/fencedcaller.h"

#include <algorithm>

#include "base/status.h"
#include "connection/http/httpclient.h"
#include "process/clock/clock.h"

namespace nutmegplank::version::command {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;

constexpr auto MIN_USER_TIMEOUT = base::Duration(std::chrono::milliseconds(100));
constexpr auto MAX_USER_TIMEOUT = base::Duration(std::chrono::seconds(2));
constexpr auto MIN_CALL_TIMEOUT = base::Duration(std::chrono::seconds(1));

auto leaseNotHeldError(const std::string &peer) -> absl::Status
{
    return base::makeError(absl::StatusCode::kFailedPrecondition, "not in charge, nothing was sent",
                           { "command.call", peer });
}

auto readResponse(http::IHttpConnection &connection, base::Duration timeout)
    -> asio::awaitable<absl::StatusOr<http::Response>>
{
    auto response = co_await connection.readHead(timeout);
    while (response.ok()) {
        auto part = co_await connection.readBody(timeout);
        if (!part.ok())
            co_return part.status();
        if (!part->has_value())
            break;
        response->body += **part;
    }
    co_return response;
}

} // namespace

auto deriveFencedTimes(base::Duration term) -> FencedTimes
{
    const auto userTimeout =
        std::clamp(base::Duration(term / 2), MIN_USER_TIMEOUT, MAX_USER_TIMEOUT);
    auto times = FencedTimes();
    times.userTimeout = userTimeout;
    times.callTimeout = std::max(MIN_CALL_TIMEOUT, base::Duration(2 * userTimeout));
    times.waitChecked = userTimeout + userTimeout / 4;
    times.waitUnchecked = 2 * times.waitChecked;
    return times;
}

FencedCaller::FencedCaller(const lease::ILease &lease, FencedTimes times)
    : m_lease(lease)
    , m_times(times)
{ }

auto FencedCaller::observe(base::TimePoint now) -> std::optional<std::uint64_t>
{
    const auto number = m_lease.fencingNumber(now);
    const auto lock = std::lock_guard(m_mutex);
    if (number != m_fencingNumber)
        m_numberSince = now;
    m_fencingNumber = number;
    return number;
}

auto FencedCaller::mayCall(base::TimePoint now, bool checksFencing) -> bool
{
    if (!observe(now))
        return false;
    const auto lock = std::lock_guard(m_mutex);
    return now - m_numberSince >= (checksFencing ? m_times.waitChecked : m_times.waitUnchecked);
}

auto FencedCaller::call(FencedPeer peer, FencedRequest build)
    -> asio::awaitable<absl::StatusOr<http::Response>>
{
    if (!mayCall(process::clock::now(), peer.checksFencing))
        co_return leaseNotHeldError(peer.endpoint);
    auto options = http::ConnectOptions();
    options.timeout = m_times.callTimeout;
    options.userTimeout = m_times.userTimeout;
    auto connection = co_await http::connect(peer.endpoint, options);
    if (!connection.ok())
        co_return connection.status();
    const auto number = m_lease.fencingNumber(process::clock::now());
    if (!number)
        co_return leaseNotHeldError(peer.endpoint);
    const auto request = build(*number);
    auto leaseHeld = true;
    const auto checkLease = [&] {
        leaseHeld = m_lease.fencingNumber(process::clock::now()) == number;
        if (!leaseHeld)
            (*connection)->close();
    };
    const auto sent = co_await (*connection)->send(request, m_times.callTimeout, checkLease);
    if (!leaseHeld)
        co_return leaseNotHeldError(peer.endpoint);
    if (!sent.ok())
        co_return sent;
    co_return co_await readResponse(**connection, m_times.callTimeout);
}

} // namespace nutmegplank::version::command
