#pragma once

#include "connection/link/link.pb.h"
#include "version/state/iplatformlog.h"

namespace nutmegplank::version::usage {

//! Grow-only counters of the usage that this process served. add() takes no lock once the counters
//! of the workspace and service exist.
class IUsageCounters
{
public:
    virtual ~IUsageCounters() = default;
    virtual auto add(const state::UsageFigure &amount) -> void = 0;
    //! Current values of all counters, as a message for the controllers.
    virtual auto collect() const -> wire::UsageCounters = 0;
};

//! Creates the counters of \a process, named "<member id>#<incarnation>".
auto makeUsageCounters(std::string process) -> std::unique_ptr<IUsageCounters>;

} // namespace nutmegplank::version::usage
