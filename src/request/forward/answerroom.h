#pragma once

#include <boost/asio/awaitable.hpp>

#include "base/timepoint.h"
#include "process/memory/heldanswers.h"

namespace nutmegplank::request::forward {

//! Holds \a bytes of an answer in all; while there is no room, waits, a few seconds at most and not
//! beyond \a until. False if there was none.
auto waitForRoom(process::memory::HeldAnswers &answers, process::memory::HeldBytes &held,
                 std::uint64_t bytes, base::TimePoint until) -> boost::asio::awaitable<bool>;

} // namespace nutmegplank::request::forward
