#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

namespace nutmegplank::request::step {

//! One prompt of which several samples are made.
struct GroupSpec
{
    std::string name;
    std::string prompt;
    std::uint32_t samples = 1;
    std::uint32_t maxTokens = 1;
    std::uint64_t seed = 0; //!< Slot i of the group runs with seed + i.
};

//! A step as its trainer opened it.
struct StepSpec
{
    std::string step;
    std::uint64_t epoch = 0;
    std::string service;
    std::uint64_t maxStaleness = 0;
    std::uint64_t trainerVersion = 0;
    std::vector<GroupSpec> groups;
    std::vector<std::string> held; //!< Slots that the trainer has already.
    std::string scoring;           //!< Service that scores the samples; empty for none.
};

//! What a trainer sends to fetch finished samples.
struct PullSpec
{
    std::uint64_t epoch = 0;
    std::uint64_t trainerVersion = 0;
    std::vector<std::string> acknowledge;
    std::uint32_t max = 1;
    std::uint32_t waitMs = 0;
};

//! New weights as a trainer publishes them.
struct WeightsSpec
{
    std::string model;
    std::uint64_t version = 0;
    std::string source;
};

auto parseStep(std::string_view body) -> absl::StatusOr<StepSpec>;
auto parsePull(std::string_view body) -> absl::StatusOr<PullSpec>;
auto parseWeights(std::string_view body) -> absl::StatusOr<WeightsSpec>;

//! Hash of all that must stay the same when a step is reopened.
auto contentHash(const StepSpec &spec) -> std::uint64_t;

} // namespace nutmegplank::request::step
