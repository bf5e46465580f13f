#pragma once

#include <optional>

#include <absl/status/statusor.h>

#include "scenario.h"

namespace nutmegplank::app::bench {

//! A process whose processor time is counted.
struct WatchedProcess
{
    std::string name;
    std::int32_t pid = 0;
};

//! Control endpoints of stand-ins, "address:port"; empty ones are left alone.
struct ControlEndpoints
{
    std::string log;
    std::string cloud;
    std::string usage;
    std::vector<std::string> engines;
    std::vector<std::string> plains;
};

struct BenchSettings
{
    std::vector<std::string> gateways;
    ScenarioName scenario = ScenarioName::OrdinaryDay;
    ScenarioInput input;
    std::string plainService;
    std::string label; //!< For instance "baseline" or "policy".
    std::uint64_t seed = 1;
    base::Duration usageWindow {};
    ControlEndpoints controls;
    std::vector<WatchedProcess> processes;
};

auto readSettings(const std::string &file) -> absl::StatusOr<BenchSettings>;

} // namespace nutmegplank::app::bench
