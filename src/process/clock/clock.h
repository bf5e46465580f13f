#pragma once

#include <cstdint>

#include "base/timepoint.h"

//! The edge where the present time is read; everything behind it takes the time as an argument.
namespace nutmegplank::process::clock {

//! The boot clock (CLOCK_BOOTTIME), which also counts time spent suspended.
auto now() -> base::TimePoint;

//! Wall-clock milliseconds since 1970, for records that people read; decides nothing.
auto wallMilliseconds() -> std::int64_t;

} // namespace nutmegplank::process::clock
