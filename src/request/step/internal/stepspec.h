#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

namespace nutmegplank::request::step {

//! A prompt and the number of samples to generate from it.
struct GroupSpec
{
    std::string name;
    std::string prompt;
    std::uint32_t samples = 1;
    std::uint32_t maxTokens = 1;
    std::uint64_t seed = 0; //!< Sample i of the group is generated with seed + i.
};

//! Body of a request to open a step.
struct StepSpec
{
    std::string stepName;
    std::uint64_t epoch = 0;
    std::string service;
    std::uint64_t maxStaleness = 0; //!< In weight versions.
    std::uint64_t trainerVersion = 0;
    std::vector<GroupSpec> groups;
    std::vector<std::string> heldSlots; //!< Names of slots whose samples the trainer already has.
    std::string scoringService;         //!< Service that scores the samples; may be empty.
};

//! Body of a request to pull finished samples.
struct PullSpec
{
    std::uint64_t epoch = 0;
    std::uint64_t trainerVersion = 0;
    std::vector<std::string> acknowledgedSlots; //!< Slot names.
    std::uint32_t maxSamples = 1;
    std::uint32_t waitMs = 0;
};

//! Body of a request to publish new weights.
struct WeightsSpec
{
    std::string model;
    std::uint64_t version = 0;
    std::string source;
};

//! The parsers fail with the first problem of a malformed or invalid JSON body.
auto parseStep(std::string_view body) -> absl::StatusOr<StepSpec>;
auto parsePull(std::string_view body) -> absl::StatusOr<PullSpec>;
auto parseWeights(std::string_view body) -> absl::StatusOr<WeightsSpec>;

//! Hash of the fields that must not change when a step is reopened.
auto contentHash(const StepSpec &spec) -> std::uint64_t;

} // namespace nutmegplank::request::step
