#include "request/step/internal/stepmachine.h"

#include <algorithm>
#include <numeric>

#include "base/text.h"

namespace nutmegplank::request::step {

namespace {

//! Bytes that one token of a running generation is expected to fill.
constexpr auto BYTES_PER_TOKEN = std::uint64_t(8);
//! Part of a step's slots that counts as its last ones.
constexpr auto STRAGGLER_PART = std::uint32_t(16);
constexpr auto FEWEST_STRAGGLERS = std::uint32_t(2);
constexpr auto SMALLEST_WINDOW = std::uint32_t(4);
constexpr auto FIRST_WINDOW = std::uint32_t(64);
constexpr auto WINDOW_CUT_PAUSE = base::Duration(std::chrono::milliseconds(200));
constexpr auto FIRST_BACKOFF = base::Duration(std::chrono::milliseconds(25));
constexpr auto LONGEST_BACKOFF = base::Duration(std::chrono::seconds(2));
constexpr auto MOST_DOUBLINGS = std::uint32_t(7);
//! Finished generations needed before one counts as slow.
constexpr auto TIMED_ENOUGH = std::uint32_t(4);
constexpr auto TIME_WEIGHT = 0.1;

auto backoff(std::uint32_t failures) -> base::Duration
{
    const auto doublings = std::min(failures, MOST_DOUBLINGS);
    return std::min(LONGEST_BACKOFF, FIRST_BACKOFF * (1U << doublings));
}

} // namespace

StepMachine::StepMachine(StepSpec spec, StepPolicy policy)
    : m_spec(std::move(spec))
    , m_policy(policy)
    , m_newest(m_spec.trainerVersion)
    , m_window(std::min(FIRST_WINDOW, policy.concurrency))
{
    for (auto group = std::uint32_t(0); group < m_spec.groups.size(); ++group) {
        for (auto index = std::uint32_t(0); index < m_spec.groups[group].samples; ++index) {
            auto slot = Slot {};
            slot.group = group;
            slot.index = index;
            m_byName[slotName(group, index)] = static_cast<SlotNumber>(m_slots.size());
            m_slots.push_back(std::move(slot));
        }
    }
    rankSlots();
    reopen(m_spec.epoch, m_spec.held);
}

auto StepMachine::rankSlots() -> void
{
    m_byRank.resize(m_slots.size());
    std::iota(m_byRank.begin(), m_byRank.end(), 0);
    const auto longerFirst = [this](SlotNumber left, SlotNumber right) {
        return m_spec.groups[m_slots[left].group].maxTokens
            > m_spec.groups[m_slots[right].group].maxTokens;
    };
    if (m_policy.longestFirst)
        std::stable_sort(m_byRank.begin(), m_byRank.end(), longerFirst);
    for (auto rank = std::uint32_t(0); rank < m_byRank.size(); ++rank) {
        m_slots[m_byRank[rank]].rank = rank;
        m_pending.insert(rank);
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
    m_newest = std::max(m_newest, version);
}

auto StepMachine::isTooOld(const Sample &sample) const -> bool
{
    return m_newest > m_spec.maxStaleness
        && sample.oldestVersion() < m_newest - m_spec.maxStaleness;
}

auto StepMachine::reservedBytes(const Slot &slot) const -> std::uint64_t
{
    return m_spec.groups[slot.group].maxTokens * BYTES_PER_TOKEN;
}

auto StepMachine::hasRoom(const Slot &slot) const -> bool
{
    if (m_attempts.empty() && m_finished.empty())
        return true;
    return m_bufferedBytes + m_reservedBytes + reservedBytes(slot) <= m_policy.bufferBytes;
}

auto StepMachine::begin(SlotNumber number, base::TimePoint now, bool hedge) -> Start
{
    auto &slot = m_slots[number];
    const auto attempt = ++m_lastAttempt;
    if (!hedge) {
        m_pending.erase(slot.rank);
        slot.state = SlotState::Running;
        slot.started = now;
        m_reservedBytes += reservedBytes(slot);
    }
    slot.attempts.push_back(attempt);
    m_attempts[attempt] = number;
    const auto unfinished = left() - static_cast<std::uint32_t>(m_finished.size());
    auto start = Start {};
    start.attempt = attempt;
    start.group = slot.group;
    start.index = slot.index;
    start.straggler = unfinished <= std::max(FEWEST_STRAGGLERS, slotCount() / STRAGGLER_PART);
    start.hedge = hedge;
    start.minWeightVersion = m_newest - std::min(m_newest, m_spec.maxStaleness);
    return start;
}

auto StepMachine::nextStart(base::TimePoint now) -> std::optional<Start>
{
    if (m_stopped || m_attempts.size() >= m_window)
        return std::nullopt;
    for (const auto rank : m_pending) {
        const auto number = m_byRank[rank];
        if (m_slots[number].notBefore > now)
            continue;
        if (!hasRoom(m_slots[number]))
            return std::nullopt;
        return begin(number, now, false);
    }
    return nextHedge(now);
}

auto StepMachine::nextHedge(base::TimePoint now) -> std::optional<Start>
{
    const auto budget = std::max(std::uint32_t(1), slotCount() * m_policy.hedgePercent / 100);
    if (!m_policy.hedging || !m_pending.empty() || m_timed < TIMED_ENOUGH || m_hedges >= budget)
        return std::nullopt;
    for (const auto &[attempt, number] : m_attempts) {
        auto &slot = m_slots[number];
        const auto expected = m_secondsPerToken * m_spec.groups[slot.group].maxTokens;
        if (slot.hedged || base::toSeconds(now - slot.started) < expected * m_policy.hedgeFactor)
            continue;
        slot.hedged = true;
        ++m_hedges;
        return begin(number, now, true);
    }
    return std::nullopt;
}

auto StepMachine::removeAttempt(AttemptId attempt) -> std::optional<SlotNumber>
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return std::nullopt;
    const auto number = found->second;
    m_attempts.erase(found);
    std::erase(m_slots[number].attempts, attempt);
    return number;
}

auto StepMachine::giveUpAttempts(Slot &slot) -> void
{
    for (const auto attempt : slot.attempts) {
        m_attempts.erase(attempt);
        m_cancelled.push_back(attempt);
    }
    slot.attempts.clear();
}

auto StepMachine::makePending(SlotNumber number, base::TimePoint notBefore) -> void
{
    auto &slot = m_slots[number];
    slot.state = SlotState::Pending;
    slot.hedged = false;
    slot.notBefore = notBefore;
    m_pending.insert(slot.rank);
}

auto StepMachine::finish(AttemptId attempt, Sample sample, base::TimePoint now) -> Finish
{
    const auto number = removeAttempt(attempt);
    if (!number)
        return Finish::TooLate;
    auto &slot = m_slots[*number];
    noteVersion(sample.newestVersion());
    if (m_attempts.size() + 1 >= m_window && m_window < m_policy.concurrency)
        ++m_window;
    if (isTooOld(sample)) {
        if (slot.attempts.empty()) {
            m_reservedBytes -= reservedBytes(slot);
            makePending(*number, now);
        }
        return Finish::TooOld;
    }
    const auto seconds = base::toSeconds(now - slot.started) / m_spec.groups[slot.group].maxTokens;
    m_secondsPerToken =
        m_timed == 0 ? seconds : m_secondsPerToken + TIME_WEIGHT * (seconds - m_secondsPerToken);
    ++m_timed;
    giveUpAttempts(slot);
    m_reservedBytes -= reservedBytes(slot);
    slot.state = SlotState::Finished;
    slot.handedOut = false;
    slot.failures = 0;
    slot.sampleId = base::concat(m_spec.step, ".", m_spec.epoch, ".",
                                 slotName(slot.group, slot.index), ".", attempt);
    slot.sample = std::move(sample);
    m_bufferedBytes += slot.sample.bytes();
    m_finished.push_back(*number);
    return Finish::Kept;
}

auto StepMachine::fail(AttemptId attempt, base::TimePoint now, base::Duration retryAfter,
                       bool refused) -> bool
{
    if (refused && now >= m_windowCut + WINDOW_CUT_PAUSE) {
        m_window = std::max(std::min(SMALLEST_WINDOW, m_policy.concurrency), m_window * 3 / 4);
        m_windowCut = now;
    }
    const auto number = removeAttempt(attempt);
    if (!number)
        return false;
    if (!m_slots[*number].attempts.empty())
        return true;
    auto &slot = m_slots[*number];
    m_reservedBytes -= reservedBytes(slot);
    const auto wait = std::max(backoff(slot.failures), std::min(retryAfter, LONGEST_BACKOFF));
    ++slot.failures;
    makePending(*number, now + wait);
    return true;
}

auto StepMachine::dropSample(SlotNumber number) -> void
{
    auto &slot = m_slots[number];
    m_bufferedBytes -= slot.sample.bytes();
    slot.sample = Sample {};
    slot.sampleId.clear();
    std::erase(m_finished, number);
}

auto StepMachine::acknowledge(const std::string &name) -> void
{
    const auto found = m_byName.find(name);
    if (found == m_byName.end())
        return;
    auto &slot = m_slots[found->second];
    if (slot.state == SlotState::Acknowledged)
        return;
    if (slot.state == SlotState::Finished)
        dropSample(found->second);
    if (slot.state == SlotState::Running)
        m_reservedBytes -= reservedBytes(slot);
    giveUpAttempts(slot);
    m_pending.erase(slot.rank);
    slot.state = SlotState::Acknowledged;
    ++m_acknowledged;
}

auto StepMachine::pull(const std::vector<std::string> &acknowledged, std::uint32_t max,
                       base::TimePoint now) -> PullResult
{
    for (const auto &name : acknowledged)
        acknowledge(name);
    auto result = PullResult {};
    auto bytes = std::uint64_t(0);
    const auto finished = m_finished;
    for (const auto number : finished) {
        if (result.deliveries.size() >= max || bytes >= m_policy.pullBytes)
            break;
        auto &slot = m_slots[number];
        if (isTooOld(slot.sample)) {
            dropSample(number);
            makePending(number, now);
            ++result.thrownAway;
            continue;
        }
        auto delivery = Delivery {};
        delivery.slot = slotName(slot.group, slot.index);
        delivery.sampleId = slot.sampleId;
        delivery.sample = slot.sample;
        delivery.staleness = m_newest - std::min(m_newest, slot.sample.oldestVersion());
        delivery.repeated = slot.handedOut;
        slot.handedOut = true;
        bytes += slot.sample.bytes();
        result.deliveries.push_back(std::move(delivery));
    }
    result.left = left();
    result.complete = left() == 0;
    return result;
}

auto StepMachine::takeCancelled() -> std::vector<AttemptId>
{
    return std::exchange(m_cancelled, {});
}

} // namespace nutmegplank::request::step
