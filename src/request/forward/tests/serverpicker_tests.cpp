#include <gtest/gtest.h>

#include "request/forward/serverpicker.h"

using namespace nutmegplank::request::forward;
using namespace std::chrono_literals;

namespace {

auto makeCandidate(const std::string &id) -> ServerCandidate
{
    auto candidate = ServerCandidate { id };
    candidate.limit = 8;
    candidate.startsLeft = 100;
    return candidate;
}

} // namespace

TEST(ServerPicker, ServerPicker_EqualServers_PicksPreferred)
{
    auto candidates = std::vector { makeCandidate("a"), makeCandidate("b") };
    candidates[1].preferred = true;
    EXPECT_EQ(pickServer(candidates), 1U);
}

TEST(ServerPicker, ServerPicker_PreferredServerSlow_PicksOther)
{
    auto candidates = std::vector { makeCandidate("a"), makeCandidate("b") };
    candidates[1].preferred = true;
    candidates[1].latency = 100ms;
    EXPECT_EQ(pickServer(candidates), 0U);
}

TEST(ServerPicker, ServerPicker_TriedFullOrColdServers_PicksNone)
{
    auto candidates = std::vector { makeCandidate("a"), makeCandidate("b"), makeCandidate("c") };
    candidates[0].tried = true;
    candidates[1].outstanding = 8;
    candidates[2].startsLeft = 0;
    EXPECT_FALSE(pickServer(candidates).has_value());
}
