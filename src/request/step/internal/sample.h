#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "request/execution/irequestrunner.h"

namespace nutmegplank::request::step {

//! Tokens [first, first + count) of a sample, generated with one weight version.
struct TokenRange
{
    std::uint64_t weightVersion = 0;
    std::uint32_t first = 0;
    std::uint32_t count = 0;

    auto operator==(const TokenRange &) const -> bool = default;
};

//! A finished generation, with the weight versions as the engine reported them.
struct Sample
{
    std::string text;
    std::vector<TokenRange> ranges;
    std::optional<double> score;

    auto operator==(const Sample &) const -> bool = default;
    auto oldestVersion() const -> std::uint64_t;
    auto newestVersion() const -> std::uint64_t;
    //! Approximate size in memory, in bytes.
    auto memoryBytes() const -> std::uint64_t;
};

//! Parses an engine's server-sent events. Fails with DataLoss when they are inconsistent: malformed
//! events, a gap between tokens, a missing weight version or end, or a token count other than the
//! reported or the expected one.
auto parseSample(std::string_view events, std::uint32_t expectedTokens) -> absl::StatusOr<Sample>;

//! Parses the sample of a finished request. Fails with DataLoss also when its token ranges differ
//! from those that the dispatcher parsed, if the outcome has any.
auto makeSample(const execution::RequestOutcome &outcome, std::uint32_t expectedTokens)
    -> absl::StatusOr<Sample>;

} // namespace nutmegplank::request::step
