#pragma once

#include "request/rollout/placement.h"

namespace nutmegplank::request::rollout {

//! Predicts when an item would end at an engine. Without clock and network.
class FinishEstimate
{
public:
    //! Time for one event of a further run at \a engine.
    static auto eventTime(const EngineLoad &engine) -> base::Duration;
    //! Time until \a item ends at \a engine, where it runs already.
    static auto whereItRuns(const WaitingItem &item, const EngineLoad &engine) -> base::Duration;
    //! Time until \a item ends at \a engine if it starts or goes on there now.
    static auto afterStart(const WaitingItem &item, const EngineLoad &engine) -> base::Duration;
};

} // namespace nutmegplank::request::rollout
