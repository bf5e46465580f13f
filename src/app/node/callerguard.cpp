#include "app/node/callerguard.h"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "process/logging/logging.h"
#include "version/routing/routingtable.h"

namespace nutmegplank::app::node {

namespace {

namespace http = connection::http;

constexpr auto INTAKE_SHARE = 0.35;
constexpr auto MOST_INTAKE_SHARE = 0.6;
//! Beside the largest body: the part for small ones, and the buffers of connections.
constexpr auto LARGEST_BODY_ROOM = 1.2;
//! The platform keeps these for files.
constexpr auto FILE_DESCRIPTORS = std::uint32_t(200);
//! Of the other descriptors; the rest is for the store, servers, members and the platform.
constexpr auto CALLER_SHARE = 0.65;
constexpr auto RECEIVE_BUFFER_BYTES = 128 * 1024;
constexpr auto LOG_PERIOD = std::chrono::seconds(1);

auto scaled(std::uint64_t value, double share) -> std::uint64_t
{
    return static_cast<std::uint64_t>(static_cast<double>(value) * share);
}

} // namespace

auto intakeBytes(std::uint64_t memoryBytes, std::uint64_t largestBody) -> std::uint64_t
{
    return std::clamp(scaled(largestBody, LARGEST_BODY_ROOM), scaled(memoryBytes, INTAKE_SHARE),
                      scaled(memoryBytes, MOST_INTAKE_SHARE));
}

CallerGuard::CallerGuard(MachineResources machine, process::metrics::Registry &metrics)
    : m_machine(machine)
    , m_held(metrics.gauge("nutmegplank_caller_body_bytes",
                           "Memory that bodies of callers' requests hold."))
{
    for (const auto &[reason, name] : http::TURNED_AWAY_NAMES)
        m_turnedAway.at(static_cast<std::size_t>(reason)) =
            &metrics.counter("nutmegplank_callers_turned_away_total",
                             "Callers that were let go without passing their request on.",
                             { { "reason", std::string(name) } });
    if (machine.memoryBytes == 0)
        return;
    auto limits = process::memory::IntakeLimits();
    limits.bytes = intakeBytes(machine.memoryBytes, version::routing::CallerLimits().bodyBytes);
    m_intake = std::make_shared<process::memory::BodyIntake>(limits);
}

auto CallerGuard::bounds() -> http::CallerBounds
{
    auto bounds = http::CallerBounds();
    bounds.intake = m_intake;
    bounds.receiveBufferBytes = m_intake == nullptr ? 0 : RECEIVE_BUFFER_BYTES;
    bounds.onTurnedAway = [this](http::TurnedAway reason) {
        m_turnedAway.at(static_cast<std::size_t>(reason))->add();
    };
    return bounds;
}

auto CallerGuard::connections(std::uint32_t configured) const -> std::uint32_t
{
    if (m_machine.descriptors == 0)
        return configured;
    const auto sockets = m_machine.descriptors - std::min(m_machine.descriptors, FILE_DESCRIPTORS);
    return std::clamp(static_cast<std::uint32_t>(scaled(sockets, CALLER_SHARE)), 1U, configured);
}

auto CallerGuard::setLargestBody(std::uint64_t bytes) -> void
{
    if (m_intake != nullptr)
        m_intake->setBytes(intakeBytes(m_machine.memoryBytes, bytes));
}

auto CallerGuard::report(base::TimePoint now) -> void
{
    if (m_intake != nullptr)
        m_held.set(static_cast<double>(m_intake->held()));
    if (now - m_reportedAt < LOG_PERIOD)
        return;
    auto reasons = boost::json::object();
    for (const auto &[reason, name] : http::TURNED_AWAY_NAMES) {
        const auto index = static_cast<std::size_t>(reason);
        const auto count = m_turnedAway.at(index)->value();
        const auto added = count - std::exchange(m_reported.at(index), count);
        if (added > 0)
            reasons[name] = added;
    }
    if (reasons.empty())
        return;
    m_reportedAt = now;
    process::logging::warning(
        "callers.turned_away",
        { { "reasons", reasons }, { "held_bytes", m_intake == nullptr ? 0 : m_intake->held() } });
}

} // namespace nutmegplank::app::node
