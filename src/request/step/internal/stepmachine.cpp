#include "request/step/internal/stepmachine.h"

#include <algorithm>
#include <numeric>

#include "base/text.h"

namespace nutmegplank::request::step {

namespace {

//! Buffer space reserved for each token of a running generation.
constexpr auto BYTES_PER_TOKEN = std::uint64_t(8);
//! The last 1/16 of the slots of a step, at least 2, run as stragglers, with a higher priority.
constexpr auto STRAGGLER_DIVISOR = std::uint32_t(16);
constexpr auto MIN_STRAGGLERS = std::uint32_t(2);
//! Lowest and first value of the concurrency window, in attempts.
constexpr auto MIN_CONCURRENCY_WINDOW = std::uint32_t(4);
constexpr auto INITIAL_CONCURRENCY_WINDOW = std::uint32_t(64);
//! Refusals that arrive together shrink the window only once.
constexpr auto MIN_WINDOW_CUT_INTERVAL = base::Duration(std::chrono::milliseconds(200));
constexpr auto INITIAL_BACKOFF = base::Duration(std::chrono::milliseconds(25));
constexpr auto MAX_BACKOFF = base::Duration(std::chrono::seconds(2));
//! Enough doublings to reach MAX_BACKOFF; more could overflow the shift.
constexpr auto MAX_BACKOFF_DOUBLINGS = std::uint32_t(7);
//! Finished generations needed before the expected generation time is used for hedging.
constexpr auto MIN_TIMED_GENERATIONS = std::uint32_t(4);
//! Weight of the latest generation in the moving average of the time per token.
constexpr auto TIME_SMOOTHING_FACTOR = 0.1;

auto backoffDelay(std::uint32_t failures) -> base::Duration
{
    const auto doublings = std::min(failures, MAX_BACKOFF_DOUBLINGS);
    return std::min(MAX_BACKOFF, INITIAL_BACKOFF * (1U << doublings));
}

} // namespace

StepMachine::StepMachine(StepSpec spec, StepPolicy policy)
    : m_spec(std::move(spec))
    , m_policy(policy)
    , m_newestVersion(m_spec.trainerVersion)
    , m_concurrencyWindow(std::min(INITIAL_CONCURRENCY_WINDOW, policy.maxConcurrency))
{
    for (auto group = std::uint32_t(0); group < m_spec.groups.size(); ++group) {
        for (auto index = std::uint32_t(0); index < m_spec.groups[group].samples; ++index) {
            auto slot = Slot {};
            slot.group = group;
            slot.index = index;
            m_slotsByName[slotName(group, index)] = static_cast<SlotNumber>(m_slots.size());
            m_slots.push_back(std::move(slot));
        }
    }
    rankSlots();
    reopen(m_spec.epoch, m_spec.heldSlots);
}

auto StepMachine::rankSlots() -> void
{
    m_slotsByRank.resize(m_slots.size());
    std::iota(m_slotsByRank.begin(), m_slotsByRank.end(), 0);
    const auto longerFirst = [this](SlotNumber left, SlotNumber right) {
        return m_spec.groups[m_slots[left].group].maxTokens
            > m_spec.groups[m_slots[right].group].maxTokens;
    };
    if (m_policy.longestFirst)
        std::stable_sort(m_slotsByRank.begin(), m_slotsByRank.end(), longerFirst);
    for (auto rank = std::uint32_t(0); rank < m_slotsByRank.size(); ++rank) {
        m_slots[m_slotsByRank[rank]].rank = rank;
        m_pendingRanks.insert(rank);
    }
}

auto StepMachine::slotName(std::uint32_t group, std::uint32_t index) const -> std::string
{
    return base::concat(m_spec.groups[group].name, "/", index);
}

auto StepMachine::reopen(std::uint64_t epoch, const std::vector<std::string> &held) -> void
{
    m_spec.epoch = epoch;
    for (const auto &name : held)
        acknowledge(name);
}

auto StepMachine::checkEpoch(std::uint64_t epoch) const -> EpochCheck
{
    if (epoch == m_spec.epoch)
        return EpochCheck::Current;
    return epoch < m_spec.epoch ? EpochCheck::Stale : EpochCheck::Unknown;
}

auto StepMachine::noteVersion(std::uint64_t version) -> void
{
    m_newestVersion = std::max(m_newestVersion, version);
}

auto StepMachine::isTooOld(const Sample &sample) const -> bool
{
    return m_newestVersion > m_spec.maxStaleness
        && sample.oldestVersion() < m_newestVersion - m_spec.maxStaleness;
}

auto StepMachine::reservedBytes(const Slot &slot) const -> std::uint64_t
{
    return m_spec.groups[slot.group].maxTokens * BYTES_PER_TOKEN;
}

auto StepMachine::hasBufferSpace(const Slot &slot) const -> bool
{
    // A generation larger than the whole buffer can still run alone.
    if (m_attempts.empty() && m_finishedSlots.empty())
        return true;
    return m_bufferedBytes + m_reservedBytes + reservedBytes(slot) <= m_policy.maxBufferBytes;
}

auto StepMachine::startAttempt(SlotNumber slotNumber, base::TimePoint now, bool hedge)
    -> GenerationStart
{
    auto &slot = m_slots[slotNumber];
    const auto attempt = ++m_lastAttempt;
    if (!hedge) {
        m_pendingRanks.erase(slot.rank);
        slot.state = SlotState::Running;
        slot.started = now;
        m_reservedBytes += reservedBytes(slot);
    }
    slot.attempts.push_back(attempt);
    m_attempts[attempt] = slotNumber;
    const auto unfinished =
        unacknowledgedSlots() - static_cast<std::uint32_t>(m_finishedSlots.size());
    auto start = GenerationStart {};
    start.attempt = attempt;
    start.group = slot.group;
    start.index = slot.index;
    start.straggler = unfinished <= std::max(MIN_STRAGGLERS, slotCount() / STRAGGLER_DIVISOR);
    start.hedge = hedge;
    start.minWeightVersion = m_newestVersion - std::min(m_newestVersion, m_spec.maxStaleness);
    return start;
}

auto StepMachine::nextStart(base::TimePoint now) -> std::optional<GenerationStart>
{
    if (m_startingStopped || m_attempts.size() >= m_concurrencyWindow)
        return std::nullopt;
    for (const auto rank : m_pendingRanks) {
        const auto slotNumber = m_slotsByRank[rank];
        if (m_slots[slotNumber].notBefore > now)
            continue;
        if (!hasBufferSpace(m_slots[slotNumber]))
            return std::nullopt;
        return startAttempt(slotNumber, now, false);
    }
    return nextHedge(now);
}

auto StepMachine::nextHedge(base::TimePoint now) -> std::optional<GenerationStart>
{
    const auto budget = std::max(std::uint32_t(1), slotCount() * m_policy.hedgeBudgetPercent / 100);
    if (!m_policy.hedging || !m_pendingRanks.empty() || m_timedGenerations < MIN_TIMED_GENERATIONS
        || m_hedgeCount >= budget)
        return std::nullopt;
    for (const auto &[attempt, slotNumber] : m_attempts) {
        auto &slot = m_slots[slotNumber];
        const auto expected = m_averageSecondsPerToken * m_spec.groups[slot.group].maxTokens;
        if (slot.hedged
            || base::toSeconds(now - slot.started) < expected * m_policy.hedgeDelayFactor)
            continue;
        slot.hedged = true;
        ++m_hedgeCount;
        return startAttempt(slotNumber, now, true);
    }
    return std::nullopt;
}

auto StepMachine::removeAttempt(AttemptId attempt) -> std::optional<SlotNumber>
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return std::nullopt;
    const auto slotNumber = found->second;
    m_attempts.erase(found);
    std::erase(m_slots[slotNumber].attempts, attempt);
    return slotNumber;
}

auto StepMachine::cancelAttempts(Slot &slot) -> void
{
    for (const auto attempt : slot.attempts) {
        m_attempts.erase(attempt);
        m_cancelledAttempts.push_back(attempt);
    }
    slot.attempts.clear();
}

auto StepMachine::makePending(SlotNumber slotNumber, base::TimePoint notBefore) -> void
{
    auto &slot = m_slots[slotNumber];
    slot.state = SlotState::Pending;
    slot.hedged = false;
    slot.notBefore = notBefore;
    m_pendingRanks.insert(slot.rank);
}

auto StepMachine::finish(AttemptId attempt, Sample sample, base::TimePoint now) -> FinishResult
{
    const auto slotNumber = removeAttempt(attempt);
    if (!slotNumber)
        return FinishResult::TooLate;
    auto &slot = m_slots[*slotNumber];
    noteVersion(sample.newestVersion());
    if (m_attempts.size() + 1 >= m_concurrencyWindow
        && m_concurrencyWindow < m_policy.maxConcurrency)
        ++m_concurrencyWindow;
    if (isTooOld(sample)) {
        if (slot.attempts.empty()) {
            m_reservedBytes -= reservedBytes(slot);
            makePending(*slotNumber, now);
        }
        return FinishResult::TooOld;
    }
    const auto secondsPerToken =
        base::toSeconds(now - slot.started) / m_spec.groups[slot.group].maxTokens;
    m_averageSecondsPerToken = m_timedGenerations == 0 ? secondsPerToken
                                                       : m_averageSecondsPerToken
            + TIME_SMOOTHING_FACTOR * (secondsPerToken - m_averageSecondsPerToken);
    ++m_timedGenerations;
    cancelAttempts(slot);
    m_reservedBytes -= reservedBytes(slot);
    slot.state = SlotState::Finished;
    slot.delivered = false;
    slot.failures = 0;
    slot.sampleId = base::concat(m_spec.stepName, ".", m_spec.epoch, ".",
                                 slotName(slot.group, slot.index), ".", attempt);
    slot.sample = std::move(sample);
    m_bufferedBytes += slot.sample.memoryBytes();
    m_finishedSlots.push_back(*slotNumber);
    return FinishResult::Kept;
}

auto StepMachine::fail(AttemptId attempt, base::TimePoint now, base::Duration retryAfter,
                       bool refused) -> bool
{
    if (refused && now >= m_lastWindowCut + MIN_WINDOW_CUT_INTERVAL) {
        m_concurrencyWindow = std::max(std::min(MIN_CONCURRENCY_WINDOW, m_policy.maxConcurrency),
                                       m_concurrencyWindow * 3 / 4);
        m_lastWindowCut = now;
    }
    const auto slotNumber = removeAttempt(attempt);
    if (!slotNumber)
        return false;
    if (!m_slots[*slotNumber].attempts.empty())
        return true;
    auto &slot = m_slots[*slotNumber];
    m_reservedBytes -= reservedBytes(slot);
    const auto wait = std::max(backoffDelay(slot.failures), std::min(retryAfter, MAX_BACKOFF));
    ++slot.failures;
    makePending(*slotNumber, now + wait);
    return true;
}

auto StepMachine::discardSample(SlotNumber slotNumber) -> void
{
    auto &slot = m_slots[slotNumber];
    m_bufferedBytes -= slot.sample.memoryBytes();
    slot.sample = Sample {};
    slot.sampleId.clear();
    std::erase(m_finishedSlots, slotNumber);
}

auto StepMachine::acknowledge(const std::string &name) -> void
{
    const auto found = m_slotsByName.find(name);
    if (found == m_slotsByName.end())
        return;
    auto &slot = m_slots[found->second];
    if (slot.state == SlotState::Acknowledged)
        return;
    if (slot.state == SlotState::Finished)
        discardSample(found->second);
    if (slot.state == SlotState::Running)
        m_reservedBytes -= reservedBytes(slot);
    cancelAttempts(slot);
    m_pendingRanks.erase(slot.rank);
    slot.state = SlotState::Acknowledged;
    ++m_acknowledgedCount;
}

auto StepMachine::pull(const std::vector<std::string> &acknowledged, std::uint32_t maxSamples,
                       base::TimePoint now) -> PullResult
{
    for (const auto &name : acknowledged)
        acknowledge(name);
    auto result = PullResult {};
    auto deliveredBytes = std::uint64_t(0);
    const auto finished = m_finishedSlots;
    for (const auto slotNumber : finished) {
        if (result.deliveries.size() >= maxSamples || deliveredBytes >= m_policy.maxPullBytes)
            break;
        auto &slot = m_slots[slotNumber];
        if (isTooOld(slot.sample)) {
            discardSample(slotNumber);
            makePending(slotNumber, now);
            ++result.discardedTooOld;
            continue;
        }
        auto delivery = Delivery {};
        delivery.slot = slotName(slot.group, slot.index);
        delivery.sampleId = slot.sampleId;
        delivery.sample = slot.sample;
        delivery.staleness =
            m_newestVersion - std::min(m_newestVersion, slot.sample.oldestVersion());
        delivery.repeated = slot.delivered;
        slot.delivered = true;
        deliveredBytes += slot.sample.memoryBytes();
        result.deliveries.push_back(std::move(delivery));
    }
    result.unacknowledgedSlots = unacknowledgedSlots();
    result.complete = unacknowledgedSlots() == 0;
    return result;
}

auto StepMachine::takeCancelled() -> std::vector<AttemptId>
{
    return std::exchange(m_cancelledAttempts, {});
}

} // namespace nutmegplank::request::step
