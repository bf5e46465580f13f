#include "request/execution/internal/attemptregistry.h"

namespace nutmegplank::request::execution {

auto AttemptRegistry::add(const std::string &attemptId, const std::string &dispatcher,
                          std::shared_ptr<Mailbox> mailbox) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_entries[attemptId] = Entry { dispatcher, 0, std::move(mailbox) };
}

auto AttemptRegistry::remove(const std::string &attemptId) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_entries.erase(attemptId);
}

auto AttemptRegistry::deliver(const std::string &attemptId, wire::Envelope message) -> bool
{
    const auto lock = std::lock_guard(m_mutex);
    notifyOlderIncarnationsLost(message.from(), message.incarnation());
    const auto found = m_entries.find(attemptId);
    if (found == m_entries.end() || found->second.dispatcher != message.from())
        return false;
    found->second.incarnation = message.incarnation();
    found->second.mailbox->push({ RunEvent::Kind::Message, attemptId, std::move(message) });
    return true;
}

auto AttemptRegistry::notifyOlderIncarnationsLost(const std::string &dispatcher,
                                                  std::uint64_t incarnation) -> void
{
    auto &latestIncarnation = m_latestIncarnations[dispatcher];
    if (incarnation <= latestIncarnation)
        return;
    latestIncarnation = incarnation;
    for (const auto &[id, entry] : m_entries) {
        const auto isOlder = entry.incarnation != 0 && entry.incarnation < incarnation;
        if (entry.dispatcher == dispatcher && isOlder)
            entry.mailbox->push({ RunEvent::Kind::DispatcherLost, id, {} });
    }
}

auto AttemptRegistry::notifyNeverSent(const std::string &attemptId) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    const auto found = m_entries.find(attemptId);
    if (found != m_entries.end())
        found->second.mailbox->push({ RunEvent::Kind::NeverSent, attemptId, {} });
}

auto AttemptRegistry::notifyDispatcherLost(const std::string &dispatcher) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    for (const auto &[id, entry] : m_entries) {
        if (entry.dispatcher == dispatcher)
            entry.mailbox->push({ RunEvent::Kind::DispatcherLost, id, {} });
    }
}

auto AttemptRegistry::size() const -> std::size_t
{
    const auto lock = std::lock_guard(m_mutex);
    return m_entries.size();
}

} // namespace nutmegplank::request::execution
