#pragma once

#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "load/orderclient.h"
#include "load/trainerclient.h"

namespace nutmegplank::standins::trainer {

//! What the trainer stand-in is to do.
struct TrainerSettings
{
    std::vector<std::string> gateways;
    std::vector<load::TrainerPlan> trainers;
    std::vector<load::OrderPlan> orders;
    std::uint64_t seed = 1;
    base::Duration timeLimit {};
};

auto readSettings(const std::string &file) -> absl::StatusOr<TrainerSettings>;

} // namespace nutmegplank::standins::trainer
