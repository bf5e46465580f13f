#pragma once

#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "process/admin/adminapi.h"
#include "process/settings/settings.h"
#include "version/plan/planner.h"

namespace nutmegplank::app {

//! All settings of nutmegplank-controller.
struct ControllerSettings
{
    process::settings::NodeSettings node;
    std::string vmList;
    std::string ordering;
    bool orderingChecksFencing = false;
    std::string usageReporting;
    bool reportingChecksFencing = false;
    std::vector<process::admin::OperatorKey> operators;
    base::Duration leaseTerm = std::chrono::seconds(3);
    base::Duration usageWindow = std::chrono::seconds(10);
    base::Duration planPeriod = std::chrono::seconds(1);
    base::Duration orderPeriod = std::chrono::milliseconds(500);
    base::Duration listLag = std::chrono::seconds(60);
    base::Duration drainTime = std::chrono::seconds(45);
    std::uint32_t weightStoreRate = 4;
    version::plan::PlanPolicy plan;
};

auto readControllerSettings(const std::string &path) -> absl::StatusOr<ControllerSettings>;

} // namespace nutmegplank::app
