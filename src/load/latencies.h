#pragma once

#include <cstdint>
#include <mutex>
#include <vector>

#include "base/timepoint.h"

namespace nutmegplank::load {

//! Latencies of a run; safe for several threads.
class Latencies
{
public:
    auto record(base::Duration latency) -> void;
    auto add(const Latencies &other) -> void;
    //! The latency that \a part (0 to 1) of all stay within, in milliseconds; 0 when there is none.
    auto percentile(double part) const -> double;
    auto count() const -> std::size_t;

private:
    mutable std::mutex m_mutex;
    std::vector<base::Duration> m_latencies;
};

//! Share of a whole; 0 when there is no whole.
auto share(double part, double whole) -> double;

} // namespace nutmegplank::load
