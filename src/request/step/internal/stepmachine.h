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

//! Why a finished sample was not kept.
enum class Discard {
    TooOld,        //!< Outside the staleness bound at its delivery.
    Contradictory, //!< The engine's answer contradicts itself.
    ScoreUnknown,  //!< The scoring call may have run and must not be repeated.
};

constexpr auto DISCARD_NAMES = base::EnumTable<Discard, 3> { {
    { Discard::TooOld, "too_old" },
    { Discard::Contradictory, "contradictory" },
    { Discard::ScoreUnknown, "score_unknown" },
} };

using AttemptId = std::uint64_t;

//! One generation that is to be started now.
struct Start
{
    AttemptId attempt = 0;
    std::uint32_t group = 0;
    std::uint32_t index = 0;
    bool straggler = false; //!< One of the last slots of the step.
    bool hedge = false;     //!< A second run beside one that takes long.
    std::uint64_t minWeightVersion = 0;
};

//! A sample as it is handed to the trainer.
struct Delivery
{
    std::string slot;
    std::string sampleId;
    Sample sample;
    std::uint64_t staleness = 0;
    bool repeated = false; //!< It was handed out before and not acknowledged.
};

//! What one pull gives.
struct PullResult
{
    std::vector<Delivery> deliveries;
    std::uint32_t left = 0; //!< Slots that the trainer has not acknowledged.
    std::uint32_t thrownAway = 0;
    bool complete = false;
};

//! How the epoch of a call stands to that of the step.
enum class EpochCheck {
    Current,
    Stale,   //!< The step was reopened since.
    Unknown, //!< Newer than the step: it was reopened elsewhere.
};

//! What became of a finished generation.
enum class Finish {
    Kept,
    TooLate, //!< Its slot was filled by another run, or the run was given up.
    TooOld,
};

//! The slots of one step at its owner. Decides what to start, keeps finished samples until they are
//! acknowledged and hands them out. Not safe for several threads.
//!
//! Each slot is pending, running, finished or acknowledged. A finished sample keeps its id and its
//! content until it is acknowledged or has grown too old; then its slot is pending again.
class StepMachine
{
public:
    StepMachine(StepSpec spec, StepPolicy policy);

    //! Opens the step anew for \a epoch at least as new as the present one; what runs and what is
    //! finished stays.
    auto reopen(std::uint64_t epoch, const std::vector<std::string> &held) -> void;
    //! Takes notice of a weight version; the newest one counts for the staleness bound.
    auto noteVersion(std::uint64_t version) -> void;

    //! The next generation to start, within concurrency and buffer; nullopt when there is none now.
    auto nextStart(base::TimePoint now) -> std::optional<Start>;
    //! A generation has finished with \a sample.
    auto finish(AttemptId attempt, Sample sample, base::TimePoint now) -> Finish;
    //! A generation gave nothing to keep; its slot waits for \a retryAfter at least. \a refused
    //! says that the backend servers had no room, so fewer are started. Whether the generation was
    //! still wanted.
    auto fail(AttemptId attempt, base::TimePoint now, base::Duration retryAfter, bool refused)
        -> bool;

    auto checkEpoch(std::uint64_t epoch) const -> EpochCheck;
    //! Acknowledges and hands out, for a call of the current epoch.
    auto pull(const std::vector<std::string> &acknowledge, std::uint32_t max, base::TimePoint now)
        -> PullResult;

    //! No more generations are started.
    auto stopStarting() -> void { m_stopped = true; }
    //! Generations that nobody needs any more; each is given once.
    auto takeCancelled() -> std::vector<AttemptId>;

    auto spec() const -> const StepSpec & { return m_spec; }
    auto epoch() const -> std::uint64_t { return m_spec.epoch; }
    auto newestVersion() const -> std::uint64_t { return m_newest; }
    auto slotCount() const -> std::uint32_t { return static_cast<std::uint32_t>(m_slots.size()); }
    auto left() const -> std::uint32_t { return slotCount() - m_acknowledged; }
    auto running() const -> std::size_t { return m_attempts.size(); }
    auto finishedWaiting() const -> std::size_t { return m_finished.size(); }
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
        std::uint32_t rank = 0; //!< Place in the order of starting.
        SlotState state = SlotState::Pending;
        std::uint32_t failures = 0;
        bool handedOut = false;
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
    auto giveUpAttempts(Slot &slot) -> void;
    auto dropSample(SlotNumber number) -> void;
    auto makePending(SlotNumber number, base::TimePoint notBefore) -> void;
    auto hasRoom(const Slot &slot) const -> bool;
    auto begin(SlotNumber number, base::TimePoint now, bool hedge) -> Start;
    auto nextHedge(base::TimePoint now) -> std::optional<Start>;
    auto isTooOld(const Sample &sample) const -> bool;
    auto reservedBytes(const Slot &slot) const -> std::uint64_t;
    auto removeAttempt(AttemptId attempt) -> std::optional<SlotNumber>;

    StepSpec m_spec;
    StepPolicy m_policy;
    std::vector<Slot> m_slots;
    std::vector<SlotNumber> m_byRank;
    std::map<std::string, SlotNumber, std::less<>> m_byName;
    std::set<std::uint32_t> m_pending; //!< Ranks.
    std::map<AttemptId, SlotNumber> m_attempts;
    std::deque<SlotNumber> m_finished; //!< In order of finishing.
    std::vector<AttemptId> m_cancelled;
    std::uint64_t m_newest = 0;
    std::uint64_t m_bufferedBytes = 0;
    std::uint64_t m_reservedBytes = 0;
    AttemptId m_lastAttempt = 0;
    std::uint32_t m_acknowledged = 0;
    std::uint32_t m_hedges = 0;
    std::uint32_t m_window;
    std::uint32_t m_timed = 0;
    double m_secondsPerToken = 0;
    base::TimePoint m_windowCut {};
    bool m_stopped = false;
};

} // namespace nutmegplank::request::step
