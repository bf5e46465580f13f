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

auto Mailbox::take() -> std::optional<RunEvent>
{
    const auto lock = std::lock_guard(m_mutex);
    if (m_events.empty())
        return std::nullopt;
    auto event = std::move(m_events.front());
    m_events.pop_front();
    return event;
}

auto Mailbox::wait(base::Duration patience) -> asio::awaitable<void>
{
    const auto initiate = [this, patience](auto handler) {
        const auto lock = std::lock_guard(m_mutex);
        // An event that came since take() has cancelled nothing: do not wait for the next one.
        m_timer.expires_after(m_events.empty() ? patience : base::Duration(0));
        m_timer.async_wait(std::move(handler));
    };
    const auto token = asio::as_tuple(asio::use_awaitable);
    co_await asio::async_initiate<decltype(token), void(boost::system::error_code)>(initiate,
                                                                                    token);
}

auto Mailbox::pop(base::Duration patience) -> asio::awaitable<std::optional<RunEvent>>
{
    auto event = take();
    if (event.has_value())
        co_return event;
    co_await wait(patience);
    co_return take();
}

} // namespace nutmegplank::request::execution
