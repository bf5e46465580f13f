#include "request/forward/answerroom.h"

#include <algorithm>

#include "process/clock/clock.h"
#include "process/clock/pause.h"

namespace nutmegplank::request::forward {

namespace {

//! Longer than callers may leave an answer unread before they are disconnected; shorter than the
//! time after which a server ends an answer that is not read.
constexpr auto MAX_WAIT = base::Duration(std::chrono::milliseconds(2500));
constexpr auto CHECK_INTERVAL = std::chrono::milliseconds(10);

} // namespace

auto waitForRoom(process::memory::HeldAnswers &answers, process::memory::HeldBytes &held,
                 std::uint64_t bytes, base::TimePoint until) -> boost::asio::awaitable<bool>
{
    const auto startedAt = process::clock::now();
    const auto lastCheck = std::min(until, startedAt + MAX_WAIT);
    while (!answers.hold(held, bytes, process::clock::now())) {
        if (process::clock::now() >= lastCheck)
            co_return false;
        co_await process::clock::pauseFor(CHECK_INTERVAL);
    }
    co_return true;
}

} // namespace nutmegplank::request::forward
