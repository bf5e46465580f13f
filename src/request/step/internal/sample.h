#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "request/execution/irequestrunner.h"

namespace nutmegplank::request::step {

//! Tokens [first, first + count) were generated with this weight version.
struct TokenRange
{
    std::uint64_t weightVersion = 0;
    std::uint32_t first = 0;
    std::uint32_t count = 0;

    auto operator==(const TokenRange &) const -> bool = default;
};

//! A finished answer, with the versions that made it as the engine itself stated them.
struct Sample
{
    std::string text;
    std::vector<TokenRange> ranges;
    std::optional<double> score;

    auto operator==(const Sample &) const -> bool = default;
    auto oldestVersion() const -> std::uint64_t;
    auto newestVersion() const -> std::uint64_t;
    //! Bytes that it takes up while it is kept.
    auto bytes() const -> std::uint64_t;
};

//! Reads an engine's stream of events. DataLoss when the events contradict themselves: a gap, a
//! token count other than stated or asked for, a version that is missing.
auto parseSample(std::string_view events, std::uint32_t expectedTokens) -> absl::StatusOr<Sample>;

//! The sample of a finished run; its ranges must agree with those that the dispatcher has read.
auto sampleOf(const execution::RequestOutcome &outcome, std::uint32_t expectedTokens)
    -> absl::StatusOr<Sample>;

} // namespace nutmegplank::request::step
