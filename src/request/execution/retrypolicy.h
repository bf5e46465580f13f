#pragma once

#include <map>
#include <mutex>
#include <string>

#include "base/timepoint.h"
#include "connection/link/link.pb.h"

namespace nutmegplank::request::execution {

//! How an attempt ended without an answer.
struct AttemptEnd
{
    wire::FailureCode code = wire::FAILURE_NONE; //!< NONE: the dispatcher was lost.
    wire::Ran ran = wire::RAN_UNKNOWN;
    std::string message;
    std::string step;
    std::string peer;
    std::string server;
    std::uint32_t retryAfterMs = 0;
    bool serverDied = false;
    std::uint32_t diedBeside = 0;
};

//! What a decision on a retry looks at.
struct RetryInput
{
    wire::FailureCode code = wire::FAILURE_NONE;
    wire::Ran ran = wire::RAN_UNKNOWN;
    bool idempotent = false;
    bool answerBegun = false;     //!< Part of the answer went to the caller.
    std::uint32_t attempts = 1;   //!< Begun so far, without moves.
    std::uint32_t moves = 0;      //!< Attempts that ended because a shard changed its owner.
    bool otherShard = false;      //!< Another shard could take it.
    base::Duration retryAfter {}; //!< As the dispatcher asks; 0 = not said.
    base::TimePoint deadline {};
};

//! Whether and when to try again.
struct RetryDecision
{
    bool retry = false;
    bool costsBudget = false; //!< Only if the retry budget gives a token.
    base::Duration backoff {};
};

struct RetrySettings
{
    std::uint32_t mostAttempts = 4;
    base::Duration firstBackoff = std::chrono::milliseconds(20);
    base::Duration longestBackoff = std::chrono::milliseconds(1000);
};

//! Whether a failure only says that a shard changes its owner.
auto isMove(wire::FailureCode code) -> bool;

//! Decides on one retry. \a spread in [0, 1) moves the backoff, so that requests which failed
//! together do not come back together.
auto decideRetry(const RetryInput &input, const RetrySettings &settings, double spread,
                 base::TimePoint now) -> RetryDecision;

//! Bounds retries and hedges to a share of the requests of each service: a token bucket that
//! requests fill. Safe from any thread.
class RetryBudget
{
public:
    //! \a share tokens a request; \a reserve tokens are there at the start and at most.
    RetryBudget(double share, double reserve);

    auto recordRequest(const std::string &service) -> void;
    auto take(const std::string &service) -> bool;

private:
    double m_share;
    double m_reserve;
    std::mutex m_mutex;
    std::map<std::string, double> m_tokens;
};

} // namespace nutmegplank::request::execution
