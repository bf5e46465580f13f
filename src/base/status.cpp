#include "base/status.h"

#include <absl/strings/cord.h>

#include "base/text.h"

namespace nutmegplank::base {

namespace {

constexpr std::string_view STEP_URL = "nutmegplank/step";
constexpr std::string_view PEER_URL = "nutmegplank/peer";

auto payload(const absl::Status &status, std::string_view url) -> std::string
{
    const auto found = status.GetPayload(toAbsl(url));
    return found.has_value() ? std::string(*found) : std::string();
}

} // namespace

auto makeError(absl::StatusCode code, std::string_view message, ErrorPlace place) -> absl::Status
{
    auto status = absl::Status(code, toAbsl(message));
    status.SetPayload(toAbsl(STEP_URL), absl::Cord(place.step));
    status.SetPayload(toAbsl(PEER_URL), absl::Cord(place.peer));
    return status;
}

auto errorPlace(const absl::Status &status) -> ErrorPlace
{
    return ErrorPlace { payload(status, STEP_URL), payload(status, PEER_URL) };
}

auto describe(const absl::Status &status) -> std::string
{
    const auto place = errorPlace(status);
    auto line =
        base::concat(absl::StatusCodeToString(status.code()), ": ", std::string(status.message()));
    if (!place.step.empty())
        line += base::concat(" (step ", place.step, ")");
    if (!place.peer.empty())
        line += base::concat(" (peer ", place.peer, ")");
    return line;
}

} // namespace nutmegplank::base
