#include "version/leadership/leadership.h"

#include "base/text.h"
#include "process/logging/logging.h"

namespace nutmegplank::version::leadership {

namespace logging = process::logging;

Leadership::Leadership(Candidate self, LeaseTimes times)
    : m_self(std::move(self))
    , m_times(times)
{ }

auto Leadership::apply(const journal::Record &record, base::TimePoint now) -> void
{
    m_logEnd = record.offset + 1;
    auto message = record::LeaseRecord();
    if (!message.ParseFromString(record.data)) {
        logging::error("lease.malformed_record", { { "offset", record.offset } });
        return;
    }
    if (message.kind() == record::LEASE_CLAIM) {
        logging::info("lease.claimed",
                      { { "holder", message.holder() },
                        { "fence", record.offset + 1 },
                        { "previous_holder", m_holder } });
        noteHolderMachine(message.machine(), now);
        m_holder = message.holder();
        m_holderFence = record.offset + 1;
        m_validUntil = {};
    } else if (message.kind() == record::LEASE_RENEWAL && message.fence() > m_holderFence) {
        // The log no longer retains the claim itself.
        noteHolderMachine(message.machine(), now);
        m_holder = message.holder();
        m_holderFence = message.fence();
    } else if (message.fence() != m_holderFence || message.holder() != m_holder) {
        return;
    }
    m_lastRecordAt = now;
    m_releaserUptime = std::chrono::milliseconds(message.uptime_ms());
    if (message.kind() == record::LEASE_RELEASE) {
        logging::info("lease.released", { { "holder", m_holder }, { "fence", m_holderFence } });
        m_holder.clear();
        return;
    }
    const auto sent = m_sentAt.find(message.id());
    if (m_holder != m_self.process || sent == m_sentAt.end())
        return;
    m_validUntil = std::max(m_validUntil, sent->second + m_times.term);
    m_sentAt.erase(sent);
}

auto Leadership::noteHolderMachine(const std::string &machine, base::TimePoint now) -> void
{
    if (m_holderMachine == m_self.machine && machine != m_self.machine)
        m_lostAt = now;
    m_holderMachine = machine;
}

auto Leadership::makeRecord(record::LeaseRecordKind kind) -> record::LeaseRecord
{
    auto message = record::LeaseRecord();
    message.set_kind(kind);
    message.set_holder(m_self.process);
    message.set_machine(m_self.machine);
    if (kind != record::LEASE_CLAIM)
        message.set_fence(m_holderFence);
    message.set_id(base::concat(m_self.process, "/", ++m_lastRecordNumber));
    return message;
}

auto Leadership::next(base::TimePoint now, const LogContact &contact, bool mayClaim)
    -> std::optional<LeaseAction>
{
    // The holder renews as soon as the log is available again.
    const auto throttled = now - m_lastAttempt < m_times.renewEvery
        && (m_holder != m_self.process || m_lastAttempt >= contact.recoveredAt);
    if (m_released || throttled)
        return std::nullopt;
    std::erase_if(m_sentAt, [&](const auto &entry) { return now - entry.second > m_times.term; });
    if (m_holder == m_self.process) {
        m_lastAttempt = now;
        auto renewal = makeRecord(record::LEASE_RENEWAL);
        m_sentAt[renewal.id()] = now;
        return LeaseAction { std::move(renewal), std::nullopt };
    }
    const auto isOnHolderMachine = m_holderMachine == m_self.machine;
    const auto isSilent = now - m_lastRecordAt > m_times.claimAfter
        && now - contact.recoveredAt > m_times.recoveryGrace;
    const auto isFree = m_holder.empty() || isOnHolderMachine || isSilent;
    const auto pauses =
        m_lostAt.has_value() && !isOnHolderMachine && now - *m_lostAt < m_times.pauseAfterLoss;
    if (!isFree || pauses || !mayClaim || now - contact.answeredAt > m_times.maxLogAnswerAge) {
        m_freeSince.reset();
        return std::nullopt;
    }
    if (!m_freeSince.has_value())
        m_freeSince = now;
    if (now - *m_freeSince < claimDelay(now))
        return std::nullopt;
    m_lastAttempt = now;
    auto claim = makeRecord(record::LEASE_CLAIM);
    m_sentAt[claim.id()] = now;
    return LeaseAction { std::move(claim), m_logEnd };
}

auto Leadership::claimDelay(base::TimePoint now) const -> base::Duration
{
    const auto wasReleased = m_releaserUptime.count() > 0;
    const auto isRestarted = now - m_self.startedAt < m_releaserUptime;
    return wasReleased && !isRestarted ? m_times.claimDelay + m_times.notRestartedDelay
                                       : m_times.claimDelay;
}

auto Leadership::fence(base::TimePoint now) const -> std::optional<std::uint64_t>
{
    if (m_released || m_holder != m_self.process || now >= m_validUntil)
        return std::nullopt;
    return m_holderFence;
}

auto Leadership::uncheckedCallLimit(base::TimePoint now) const -> std::optional<base::TimePoint>
{
    const auto limit = m_validUntil - m_times.uncheckedCallMargin;
    return fence(now).has_value() && now < limit ? std::optional(limit) : std::nullopt;
}

auto Leadership::uncontestedFence() const -> std::optional<std::uint64_t>
{
    if (m_released || m_holder != m_self.process)
        return std::nullopt;
    return m_holderFence;
}

auto Leadership::release(base::TimePoint now) -> std::optional<LeaseAction>
{
    if (m_released)
        return std::nullopt;
    m_released = true;
    if (m_holder != m_self.process)
        return std::nullopt;
    auto release = makeRecord(record::LEASE_RELEASE);
    release.set_uptime_ms(base::toMilliseconds(now - m_self.startedAt));
    return LeaseAction { std::move(release), std::nullopt };
}

} // namespace nutmegplank::version::leadership
