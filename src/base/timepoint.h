#pragma once

#include <chrono>
#include <cstdint>

//! Time as the whole product sees it: a reading of a clock that also runs while the machine is
//! suspended.
namespace nutmegplank::base {

//! Tag of the boot clock; it has no now(), for each decision takes the present time as an argument.
struct BootClock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true;
};

using TimePoint = BootClock::time_point;
using Duration = BootClock::duration;

//! Whole milliseconds of a duration.
inline auto toMilliseconds(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

//! Seconds of a duration as a floating-point number, for metrics and averages.
inline auto toSeconds(Duration duration) -> double
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace nutmegplank::base
