#include "process/clock/clock.h"

#include <ctime>

namespace nutmegplank::process::clock {

namespace {

constexpr auto NANOSECONDS_PER_MICROSECOND = 1000;
constexpr auto MICROSECONDS_PER_SECOND = 1'000'000;

} // namespace

auto now() -> base::TimePoint
{
    auto reading = timespec();
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return base::TimePoint(base::Duration(reading.tv_sec * MICROSECONDS_PER_SECOND
                                          + reading.tv_nsec / NANOSECONDS_PER_MICROSECOND));
}

auto wallMilliseconds() -> std::int64_t
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace nutmegplank::process::clock
