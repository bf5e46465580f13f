#include "app/gateway/shutdownplan.h"

namespace nutmegplank::app::gateway {

namespace {

//! Until all other gateways have heard that this one leaves, and for answers under way.
constexpr auto SPREAD_MARGIN = std::chrono::seconds(2);

} // namespace

ShutdownPlan::ShutdownPlan(base::Duration addressKeep)
    : m_addressKeep(addressKeep)
{ }

auto ShutdownPlan::begin(base::TimePoint now) -> void
{
    if (m_stage != ShutdownStage::Serving)
        return;
    m_begun = now;
    m_stage = ShutdownStage::Leaving;
}

auto ShutdownPlan::advance(const ShutdownLoad &load, base::TimePoint now) -> ShutdownStage
{
    // Trainers fetch the rest of their steps over new connections.
    const auto isForgotten = now - m_begun >= m_addressKeep + SPREAD_MARGIN;
    if (m_stage == ShutdownStage::Leaving && isForgotten && load.steps == 0)
        m_stage = ShutdownStage::Finishing;
    const auto isIdle = load.exchanges == 0 && load.attempts == 0 && load.steps == 0;
    if (m_stage == ShutdownStage::Finishing && isIdle)
        m_stage = ShutdownStage::Finished;
    return m_stage;
}

} // namespace nutmegplank::app::gateway
