#pragma once

#include <deque>
#include <map>
#include <set>

#include "base/enumtable.h"
#include "base/timepoint.h"
#include "request/step/internal/sample.h"
#include "request/step/internal/stepspec.h"
#include "request/step/istepservice.h"

namespace nutmegplank::request::step {

//! Why a finished sample was discarded.
enum class DiscardReason {
    TooOld,        //!< Beyond the staleness bound when it finished or was to be delivered.
    Contradictory, //!< The engine's response is inconsistent.
    ScoreUnknown,  //!< The scoring call failed, may have run and must not be repeated.
};

constexpr auto DISCARD_NAMES = base::EnumTable<DiscardReason, 3> { {
    { DiscardReason::TooOld, "too_old" },
    { DiscardReason::Contradictory, "contradictory" },
    { DiscardReason::ScoreUnknown, "score_unknown" },
} };

using AttemptId = std::uint64_t;

//! A generation to start now.
struct GenerationStart
{
    AttemptId attempt = 0;
    std::uint32_t group = 0;
    std::uint32_t index = 0;
    bool straggler = false; //!< One of the last slots of the step.
    bool hedge = false;     //!< A second attempt for a slot whose first one is slow.
    std::uint64_t minWeightVersion = 0;
};

//! A sample as delivered to the trainer.
struct Delivery
{
    std::string slot;
    std::string sampleId;
    Sample sample;
    std::uint64_t staleness = 0; //!< In weight versions.
    bool repeated = false;       //!< Delivered before and not acknowledged.
};

struct PullResult
{
    std::vector<Delivery> deliveries;
    std::uint32_t unacknowledgedSlots = 0;
    std::uint32_t discardedTooOld = 0;
    bool complete = false;
};

//! Compares the epoch of a call with the step's.
enum class EpochCheck {
    Current,
    Stale,   //!< The step was reopened since the call.
    Unknown, //!< Newer than the step: it was reopened at another process.
};

//! What happened to the sample of a finished generation.
enum class FinishResult {
    Kept,
    TooLate, //!< The attempt was cancelled, for instance because another one filled the slot.
    TooOld,
};

//! State machine of one step in the process that owns it. Schedules generations, buffers finished
//! samples until they are acknowledged and delivers them. Not thread-safe.
//!
//! Each slot is pending, running, finished or acknowledged. A finished sample keeps its id and its
//! content until it is acknowledged or becomes too old; a slot whose sample is too old is pending
//! again.
class StepMachine
{
public:
    StepMachine(StepSpec spec, StepPolicy policy);

    //! Reopens the step with \a epoch, which must not be older than the current one, and marks the
    //! \a held slots as acknowledged. Other running and finished slots stay.
    auto reopen(std::uint64_t epoch, const std::vector<std::string> &held) -> void;
    //! Records a weight version; the staleness bound is relative to the newest one.
    auto noteVersion(std::uint64_t version) -> void;

    //! The next generation to start; nullopt when none is due or concurrency or buffer are
    //! exhausted.
    auto nextStart(base::TimePoint now) -> std::optional<GenerationStart>;
    //! Reports that an attempt has finished with \a sample.
    auto finish(AttemptId attempt, Sample sample, base::TimePoint now) -> FinishResult;
    //! Reports that an attempt gave no usable sample. Without another attempt in progress, the slot
    //! is retried after a backoff delay, or after \a retryAfter if that is longer, at most 2 s.
    //! \a refused means that the generation was refused without running, usually for lack of
    //! capacity; it shrinks the concurrency window. Returns false if the attempt was cancelled
    //! before.
    auto fail(AttemptId attempt, base::TimePoint now, base::Duration retryAfter, bool refused)
        -> bool;

    auto checkEpoch(std::uint64_t epoch) const -> EpochCheck;
    //! Marks slots as acknowledged, then delivers up to \a maxSamples finished samples. The caller
    //! checks the epoch first.
    auto pull(const std::vector<std::string> &acknowledged, std::uint32_t maxSamples,
              base::TimePoint now) -> PullResult;

    auto stopStarting() -> void { m_startingStopped = true; }
    //! Attempts to cancel because they are no longer needed; each is returned once.
    auto takeCancelled() -> std::vector<AttemptId>;

    auto spec() const -> const StepSpec & { return m_spec; }
    auto epoch() const -> std::uint64_t { return m_spec.epoch; }
    auto newestVersion() const -> std::uint64_t { return m_newestVersion; }
    auto slotCount() const -> std::uint32_t { return static_cast<std::uint32_t>(m_slots.size()); }
    auto unacknowledgedSlots() const -> std::uint32_t { return slotCount() - m_acknowledgedCount; }
    auto runningAttempts() const -> std::size_t { return m_attempts.size(); }
    auto finishedCount() const -> std::size_t { return m_finishedSlots.size(); }
    auto bufferedBytes() const -> std::uint64_t { return m_bufferedBytes; }
    auto slotName(std::uint32_t group, std::uint32_t index) const -> std::string;

private:
    enum class SlotState {
        Pending,
        Running,
        Finished,
        Acknowledged,
    };
    struct Slot
    {
        std::uint32_t group = 0;
        std::uint32_t index = 0;
        std::uint32_t rank = 0; //!< Position in the start order.
        SlotState state = SlotState::Pending;
        std::uint32_t failures = 0;
        bool delivered = false;
        bool hedged = false;
        base::TimePoint notBefore {};
        base::TimePoint started {};
        std::vector<AttemptId> attempts;
        std::string sampleId;
        Sample sample;
    };
    using SlotNumber = std::uint32_t;

    auto rankSlots() -> void;
    auto acknowledge(const std::string &name) -> void;
    auto cancelAttempts(Slot &slot) -> void;
    auto discardSample(SlotNumber slotNumber) -> void;
    auto makePending(SlotNumber slotNumber, base::TimePoint notBefore) -> void;
    auto hasBufferSpace(const Slot &slot) const -> bool;
    auto startAttempt(SlotNumber slotNumber, base::TimePoint now, bool hedge) -> GenerationStart;
    auto nextHedge(base::TimePoint now) -> std::optional<GenerationStart>;
    auto isTooOld(const Sample &sample) const -> bool;
    auto reservedBytes(const Slot &slot) const -> std::uint64_t;
    auto removeAttempt(AttemptId attempt) -> std::optional<SlotNumber>;

    StepSpec m_spec;
    StepPolicy m_policy;
    std::vector<Slot> m_slots;
    std::vector<SlotNumber> m_slotsByRank;
    std::map<std::string, SlotNumber, std::less<>> m_slotsByName;
    std::set<std::uint32_t> m_pendingRanks; //!< Ranks of the pending slots.
    std::map<AttemptId, SlotNumber> m_attempts;
    std::deque<SlotNumber> m_finishedSlots; //!< In the order in which they finished.
    std::vector<AttemptId> m_cancelledAttempts;
    std::uint64_t m_newestVersion = 0;
    std::uint64_t m_bufferedBytes = 0;
    std::uint64_t m_reservedBytes = 0;
    AttemptId m_lastAttempt = 0;
    std::uint32_t m_acknowledgedCount = 0;
    std::uint32_t m_hedgeCount = 0;
    //! Limit of running attempts: shrinks on refusals and grows while generations finish.
    std::uint32_t m_concurrencyWindow;
    std::uint32_t m_timedGenerations = 0; //!< Generations in m_averageSecondsPerToken.
    double m_averageSecondsPerToken = 0;
    base::TimePoint m_lastWindowCut {};
    bool m_startingStopped = false;
};

} // namespace nutmegplank::request::step
