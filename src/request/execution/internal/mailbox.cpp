#include "request/execution/internal/mailbox.h"

#include <boost/asio.hpp>

namespace nutmegplank::request::execution {

namespace asio = boost::asio;

Mailbox::Mailbox(const asio::any_io_executor &executor)
    : m_timer(executor)
{ }

auto Mailbox::push(RunEvent event) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_events.push_back(std::move(event));
    m_timer.cancel();
}

auto Mailbox::tryPop() -> std::optional<RunEvent>
{
    const auto lock = std::lock_guard(m_mutex);
    if (m_events.empty())
        return std::nullopt;
    auto event = std::move(m_events.front());
    m_events.pop_front();
    return event;
}

auto Mailbox::waitForEvent(base::Duration timeout) -> asio::awaitable<void>
{
    const auto initiate = [this, timeout](auto handler) {
        const auto lock = std::lock_guard(m_mutex);
        // An event pushed since tryPop() had no pending wait to cancel, so do not wait for another.
        m_timer.expires_after(m_events.empty() ? timeout : base::Duration(0));
        m_timer.async_wait(std::move(handler));
    };
    const auto token = asio::as_tuple(asio::use_awaitable);
    co_await asio::async_initiate<decltype(token), void(boost::system::error_code)>(initiate,
                                                                                    token);
}

auto Mailbox::pop(base::Duration timeout) -> asio::awaitable<std::optional<RunEvent>>
{
    auto event = tryPop();
    if (event.has_value())
        co_return event;
    co_await waitForEvent(timeout);
    co_return tryPop();
}

} // namespace nutmegplank::request::execution
