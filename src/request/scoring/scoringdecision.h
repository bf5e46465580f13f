#pragma once

#include <cstdint>
#include <string_view>

#include "base/enumtable.h"
#include "base/timepoint.h"

namespace nutmegplank::request::scoring {

//! How one scoring call ended.
enum class CallEnd {
    Scored,
    Failed,      //!< The server ran the call and reported an internal error.
    NotRun,      //!< The server refused the call without running it.
    Rejected,    //!< The server faults this call; it serves others.
    WrongServer, //!< The address belongs to another server now.
    Unreachable, //!< No connection could be made; nothing was sent.
    Lost,        //!< No complete, valid response; the call may have run.
    Cancelled,   //!< Ended by this process.
};

constexpr auto CALL_END_NAMES = base::EnumTable<CallEnd, 8> { {
    { CallEnd::Scored, "scored" },
    { CallEnd::Failed, "failed" },
    { CallEnd::NotRun, "not_run" },
    { CallEnd::Rejected, "rejected" },
    { CallEnd::WrongServer, "wrong_server" },
    { CallEnd::Unreachable, "unreachable" },
    { CallEnd::Lost, "lost" },
    { CallEnd::Cancelled, "cancelled" },
} };

//! How often the scoring calls of an item have failed.
struct CallFailures
{
    std::uint32_t serverErrors = 0; //!< The server reported an internal error.
    std::uint32_t lostCalls = 0;    //!< No complete response arrived.
    std::uint32_t rejections = 0;   //!< The server faulted the call.
};

enum class ScoringStep {
    Retry,
    FinishScored,
    FinishLost,
};

//! How to continue after a call.
struct CallDecision
{
    ScoringStep step = ScoringStep::Retry;
    base::Duration retryDelay { 0 }; //!< Before the next call.
    bool avoidServer = false;        //!< The next call should prefer another server.
};

//! Decides whether an item is finished or its score is requested again. Only internal errors that
//! the server itself reports count towards \a maxAttempts; calls that end otherwise are repeated
//! without limit. Counts this call in \a failures.
auto decideAfterCall(CallEnd end, std::uint32_t maxAttempts, CallFailures &failures)
    -> CallDecision;

//! Time limit of the next call. It starts at a multiple of \a targetLatency, so that a lost
//! response costs little, and doubles with each lost call up to \a routeTimeout, so that slow
//! servers can answer.
auto callTimeLimit(base::Duration targetLatency, base::Duration routeTimeout,
                   std::uint32_t lostCalls) -> base::Duration;

} // namespace nutmegplank::request::scoring
