#include "request/execution/retrypolicy.h"

namespace nutmegplank::request::execution {

namespace {

//! Retries after an ownership change use no budget; only this limit and the deadline bound them.
constexpr auto MAX_OWNERSHIP_CHANGES = std::uint32_t(50);
constexpr auto OWNERSHIP_CHANGE_BACKOFF = std::chrono::milliseconds(50);

auto isFinal(wire::FailureCode code) -> bool
{
    return code == wire::FAILURE_DEADLINE || code == wire::FAILURE_CANCELLED
        || code == wire::FAILURE_QUARANTINED;
}

auto backoffFor(const RetryInput &input, const RetrySettings &settings, double jitter)
    -> base::Duration
{
    auto backoff = settings.initialBackoff;
    for (auto attempt = std::uint32_t(1); attempt < input.attempts; ++attempt)
        backoff = std::min(backoff * 2, settings.maxBackoff);
    const auto jitteredBackoff =
        base::Duration(static_cast<std::int64_t>(backoff.count() * (0.5 + jitter)));
    return std::max(jitteredBackoff, input.retryAfter);
}

} // namespace

auto isOwnershipChange(wire::FailureCode code) -> bool
{
    return code == wire::FAILURE_NOT_OWNER || code == wire::FAILURE_FENCED;
}

auto decideRetry(const RetryInput &input, const RetrySettings &settings, double jitter,
                 base::TimePoint now) -> RetryDecision
{
    const auto mayHaveRun = input.ran != wire::RAN_NOT_RUN;
    if (input.responseStarted || isFinal(input.code) || (mayHaveRun && !input.idempotent))
        return {};
    if (isOwnershipChange(input.code)) {
        const auto backoff = std::max<base::Duration>(OWNERSHIP_CHANGE_BACKOFF, input.retryAfter);
        return { input.ownershipChanges < MAX_OWNERSHIP_CHANGES && now + backoff < input.deadline,
                 false, backoff };
    }
    if (input.attempts >= settings.maxAttempts)
        return {};
    // A retry would go to the same full queue.
    if (input.code == wire::FAILURE_QUEUE_FULL && !input.hasOtherShard)
        return {};
    const auto backoff = backoffFor(input, settings, jitter);
    if (now + backoff >= input.deadline)
        return {};
    return { true, true, backoff };
}

RetryBudget::RetryBudget(double share, double reserve)
    : m_share(share)
    , m_reserve(reserve)
{ }

auto RetryBudget::recordRequest(const std::string &service) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    auto &tokens = m_tokens.try_emplace(service, m_reserve).first->second;
    tokens = std::min(m_reserve, tokens + m_share);
}

auto RetryBudget::tryConsume(const std::string &service) -> bool
{
    const auto lock = std::lock_guard(m_mutex);
    auto &tokens = m_tokens.try_emplace(service, m_reserve).first->second;
    if (tokens < 1)
        return false;
    tokens -= 1;
    return true;
}

} // namespace nutmegplank::request::execution
