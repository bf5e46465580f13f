#pragma once

#include <boost/asio/awaitable.hpp>

#include "base/timepoint.h"

namespace nutmegplank::process::clock {

//! Suspends the calling coroutine; a pause that nothing ends early.
auto pauseFor(base::Duration duration) -> boost::asio::awaitable<void>;

} // namespace nutmegplank::process::clock
