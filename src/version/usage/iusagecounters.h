#pragma once

#include "connection/link/link.pb.h"
#include "version/state/iplatformlog.h"

namespace nutmegplank::version::usage {

//! Grow-only counters of what this process served; lock-free to add to once a series exists.
class IUsageCounters
{
public:
    virtual ~IUsageCounters() = default;
    virtual auto add(const state::UsageFigure &amount) -> void = 0;
    //! All counters, to be sent to controllers.
    virtual auto collect() const -> wire::UsageCounters = 0;
};

//! Counters of the process called \a process ("member id#incarnation").
auto makeUsageCounters(std::string process) -> std::unique_ptr<IUsageCounters>;

} // namespace nutmegplank::version::usage
