#pragma once

#include <array>
#include <atomic>

#include "connection/http/httpserver.h"
#include "process/metrics/metrics.h"

namespace nutmegplank::app::node {

//! What a machine has; 0 if not known.
struct MachineResources
{
    std::uint64_t memoryBytes = 0;
    std::uint32_t descriptors = 0;
};

//! Keeps what callers hold within a machine's memory and descriptors, and reports whom this costs.
//! Where the machine does not say what it has, nothing is bound.
class CallerGuard
{
public:
    CallerGuard(MachineResources machine, process::metrics::Registry &metrics);

    auto bounds() -> connection::http::CallerBounds;
    //! Open connections of callers, at most \a configured.
    auto connections(std::uint32_t configured) const -> std::uint32_t;
    //! A single body of this size is served if it fits into the machine.
    auto setLargestBody(std::uint64_t bytes) -> void;
    //! Brings the metrics up to date and logs at most one line a second.
    auto report(base::TimePoint now) -> void;

private:
    static constexpr auto REASONS = connection::http::TURNED_AWAY_NAMES.size();

    MachineResources m_machine;
    process::metrics::Gauge &m_held;
    std::array<process::metrics::Counter *, REASONS> m_turnedAway {};
    std::array<std::uint64_t, REASONS> m_reported {};
    base::TimePoint m_reportedAt {};
    std::shared_ptr<process::memory::BodyIntake> m_intake;
};

//! The part of a machine's memory for the bodies of requests: all that \a largestBody needs, as far
//! as the machine has it.
auto intakeBytes(std::uint64_t memoryBytes, std::uint64_t largestBody) -> std::uint64_t;

} // namespace nutmegplank::app::node
