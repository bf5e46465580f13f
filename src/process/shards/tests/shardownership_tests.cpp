#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "process/shards/shardownership.h"

using namespace nutmegplank;
using namespace nutmegplank::process::shards;

namespace {

constexpr auto HANDOVER = std::chrono::milliseconds(500);
constexpr auto TICK = std::chrono::milliseconds(50);
constexpr auto SLOWEST_NEWS = 9; //!< Ticks; less than the handover delay.

} // namespace

//! Views of who lives change at random, and each dispatcher learns of a change at another time. No
//! two serve a shard at once, and all is served once the views have settled.
RC_GTEST_PROP(Shards, Shards_ViewsThatDiffer_NeverLetTwoServe, ())
{
    const auto names = std::vector<std::string> { "d0", "d1", "d2" };
    const auto shards = std::vector<std::string> { "s/0", "s/1", "s/2", "s/3" };
    auto owners = std::vector<ShardOwnership>(names.size(), ShardOwnership(HANDOVER));
    auto truth = names;
    auto views = std::vector<std::vector<std::string>>(names.size(), truth);
    auto pending = std::vector<int>(names.size(), 0);
    auto settledFor = 0;
    auto now = base::TimePoint(std::chrono::seconds(10));
    for (auto tick = 0; tick < 200; ++tick, now += TICK) {
        if (tick < 150 && settledFor > SLOWEST_NEWS && *rc::gen::inRange(0, 10) == 0) {
            truth = *rc::gen::suchThat(rc::gen::container<std::vector<std::string>>(
                                           names.size(), rc::gen::elementOf(names)),
                                       [](const auto &live) { return !live.empty(); });
            for (auto &ticks : pending)
                ticks = *rc::gen::inRange(0, SLOWEST_NEWS);
            settledFor = 0;
        }
        ++settledFor;
        auto serving = std::map<std::string, int>();
        for (auto index = std::size_t(0); index < names.size(); ++index) {
            if (pending[index]-- <= 0)
                views[index] = truth;
            const auto owned = ownedShards(names[index], shards, views[index]);
            owners[index].update({ owned, true }, now);
            for (const auto &shard : shards)
                serving[shard] += owners[index].state(shard) == ShardState::Serving ? 1 : 0;
        }
        for (const auto &[shard, count] : serving) {
            RC_ASSERT(count <= 1);
            RC_ASSERT(tick < 190 || count == 1);
        }
    }
}

TEST(Shards, Shards_Fenced_ServesAgainOnlyAfterTheHandover)
{
    const auto owned = std::vector<std::string> { "s/0" };
    auto ownership = ShardOwnership(HANDOVER);
    auto now = base::TimePoint(std::chrono::seconds(10));
    ownership.update({ owned, true }, now);
    EXPECT_EQ(ownership.state("s/0"), ShardState::Handover);
    now += HANDOVER;
    ownership.update({ owned, true }, now);
    EXPECT_EQ(ownership.state("s/0"), ShardState::Serving);
    ownership.update({ owned, false }, now);
    EXPECT_EQ(ownership.state("s/0"), ShardState::Fenced);
    ownership.update({ owned, true }, now);
    EXPECT_EQ(ownership.state("s/0"), ShardState::Handover);
    const auto changes = ownership.update({ {}, true }, now);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].after, ShardState::NotOwner);
}
