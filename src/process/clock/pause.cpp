#include "process/clock/pause.h"

#include <boost/asio.hpp>

namespace nutmegplank::process::clock {

namespace asio = boost::asio;

auto pauseFor(base::Duration duration) -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace nutmegplank::process::clock
