#include "request/execution/internal/cancellation.h"

namespace nutmegplank::request::execution {

auto Cancellation::cancel(Refusal reason) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    if (!m_reason.has_value())
        m_reason = std::move(reason);
    if (m_mailbox)
        m_mailbox->push({ RunEvent::Kind::Cancelled, "", {} });
}

auto Cancellation::attach(std::shared_ptr<Mailbox> mailbox) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_mailbox = std::move(mailbox);
}

auto Cancellation::reason() const -> std::optional<Refusal>
{
    const auto lock = std::lock_guard(m_mutex);
    return m_reason;
}

} // namespace nutmegplank::request::execution
