#include "request/scoring/scoringdecision.h"

#include <algorithm>

namespace nutmegplank::request::scoring {

namespace {

//! About the time until a slot of a full server becomes free.
constexpr auto REFUSED_DELAY = std::chrono::milliseconds(60);
constexpr auto FAILED_DELAY = std::chrono::milliseconds(30);
constexpr auto INITIAL_LOSS_DELAY = base::Duration(std::chrono::milliseconds(20));
constexpr auto MAX_LOSS_DELAY = base::Duration(std::chrono::seconds(2));
//! Enough doublings to reach MAX_LOSS_DELAY; more could overflow the shift.
constexpr auto MAX_DOUBLINGS = 7U;
constexpr auto TIME_LIMIT_FACTOR = 2;
constexpr auto MIN_TIME_LIMIT = base::Duration(std::chrono::milliseconds(500));

auto lossDelay(std::uint32_t earlierLosses) -> base::Duration
{
    return std::min(INITIAL_LOSS_DELAY * (1 << std::min(earlierLosses, MAX_DOUBLINGS)),
                    MAX_LOSS_DELAY);
}

} // namespace

auto decideAfterCall(CallEnd end, std::uint32_t maxAttempts, CallFailures &failures) -> CallDecision
{
    switch (end) {
    case CallEnd::Scored:
        return { ScoringStep::FinishScored };
    case CallEnd::Failed:
        if (++failures.serverErrors >= std::max(1U, maxAttempts))
            return { ScoringStep::FinishLost };
        return { ScoringStep::Retry, FAILED_DELAY, true };
    case CallEnd::Rejected:
        return { ScoringStep::Retry, lossDelay(failures.rejections++), true };
    case CallEnd::Lost:
        return { ScoringStep::Retry, lossDelay(failures.lostCalls++), true };
    case CallEnd::NotRun:
    case CallEnd::WrongServer:
    case CallEnd::Unreachable:
        return { ScoringStep::Retry, REFUSED_DELAY, true };
    case CallEnd::Cancelled:
        return {};
    }
    return {};
}

auto callTimeLimit(base::Duration targetLatency, base::Duration routeTimeout,
                   std::uint32_t lostCalls) -> base::Duration
{
    const auto first = std::max(targetLatency * TIME_LIMIT_FACTOR, MIN_TIME_LIMIT);
    return std::min(first * (1 << std::min(lostCalls, MAX_DOUBLINGS)), routeTimeout);
}

} // namespace nutmegplank::request::scoring
