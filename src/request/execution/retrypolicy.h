#pragma once

#include <map>
#include <mutex>
#include <string>

#include "base/timepoint.h"
#include "connection/link/link.pb.h"

namespace nutmegplank::request::execution {

//! How an attempt ended without a response.
struct AttemptFailure
{
    wire::FailureCode code = wire::FAILURE_NONE; //!< FAILURE_NONE: dispatcher unreachable or lost.
    wire::Ran ran = wire::RAN_UNKNOWN;
    std::string message;
    std::string step;
    std::string peer;
    std::string server;
    std::uint32_t retryAfterMs = 0;
    bool serverDied = false;
    std::uint32_t concurrentRequestsAtDeath = 0; //!< Other requests on the dead server.
};

//! Input of a retry decision.
struct RetryInput
{
    wire::FailureCode code = wire::FAILURE_NONE;
    wire::Ran ran = wire::RAN_UNKNOWN;
    bool idempotent = false;
    bool responseStarted = false;       //!< Part of the response was sent to the caller.
    std::uint32_t attempts = 1;         //!< Started so far, without ownershipChanges.
    std::uint32_t ownershipChanges = 0; //!< Attempts that ended because a shard changed its owner.
    bool hasOtherShard = false;         //!< The service has more than one shard.
    base::Duration retryAfter {};       //!< Requested by the dispatcher; 0: none.
    base::TimePoint deadline {};
};

//! Whether and when to retry.
struct RetryDecision
{
    bool retry = false;
    bool needsBudgetToken = false; //!< Retry only if the retry budget has a token.
    base::Duration backoff {};
};

struct RetrySettings
{
    std::uint32_t maxAttempts = 4;
    base::Duration initialBackoff = std::chrono::milliseconds(20);
    base::Duration maxBackoff = std::chrono::milliseconds(1000);
};

//! Whether the attempt failed only because its shard is changing owners.
auto isOwnershipChange(wire::FailureCode code) -> bool;

//! Decides on one retry. The backoff is multiplied by 0.5 + \a jitter, with jitter in [0, 1), so
//! that requests which failed at the same time are not retried at the same time.
auto decideRetry(const RetryInput &input, const RetrySettings &settings, double jitter,
                 base::TimePoint now) -> RetryDecision;

//! Limits retries and hedges to a share of the requests of each service, by a token bucket that
//! requests refill. Thread-safe.
class RetryBudget
{
public:
    //! Each request adds \a share tokens. A bucket starts with \a reserve tokens, which is also its
    //! capacity.
    RetryBudget(double share, double reserve);

    auto recordRequest(const std::string &service) -> void;
    //! Consumes a token; returns false if none is left.
    auto tryConsume(const std::string &service) -> bool;

private:
    double m_share;
    double m_reserve;
    std::mutex m_mutex;
    std::map<std::string, double> m_tokens;
};

} // namespace nutmegplank::request::execution
