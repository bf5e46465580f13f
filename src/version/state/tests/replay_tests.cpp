#include "version/state/internal/replay.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "recordsource.h"
#include "version/state/records.h"
#include "version/state/statecodec.h"

using namespace nutmegplank;
using namespace nutmegplank::version::state;
namespace json = boost::json;

namespace {

constexpr auto RECORDS = std::uint64_t(300);

auto apply(Replay &replay, std::uint64_t offset, const std::string &id, json::object body)
    -> ApplyResult
{
    return replay.apply(Record { offset, id, std::move(body) });
}

auto claim(std::string_view scope, std::uint64_t supersedes) -> json::object
{
    return { { "kind", "lease_claim" },
             { "scope", scope },
             { "holder", "a#1" },
             { "supersedes", supersedes },
             { "term_ms", 3000 } };
}

auto workspaceChange(std::uint64_t baseVersion, std::string_view who) -> json::object
{
    auto value = json::object { { "name", who }, { "weight", 1 } };
    auto change = json::object { { "object", "workspace" }, { "name", who }, { "value", value } };
    return { { "kind", "configuration_change" },
             { "base_version", baseVersion },
             { "who", who },
             { "what", "test" },
             { "changes", json::array { change } } };
}

auto window(std::uint64_t number, std::uint64_t fencingNumber, int requests) -> json::object
{
    auto figure =
        json::object { { "workspace", "w" }, { "service", "s" }, { "requests", requests } };
    return {
        { "kind", "usage_window" }, { "number", number }, { "fencing_number", fencingNumber },
        { "start_ms", 0 },          { "end_ms", 1 },      { "figures", json::array { figure } }
    };
}

//! Checks the invariants that hold at every offset, whatever the records contain.
auto checkStep(const LogState &before, const LogState &after) -> void
{
    RC_ASSERT(after.configuration->version >= before.configuration->version);
    for (const auto &[model, weights] : before.weights)
        RC_ASSERT(after.weights.at(model).version >= weights.version);
    for (const auto &[scope, lease] : before.leases)
        RC_ASSERT(after.leases.at(scope).fencingNumber >= lease.fencingNumber);
    for (const auto &[number, known] : before.windows) {
        const auto found = after.windows.find(number);
        if (found == after.windows.end())
            continue;
        RC_ASSERT(toJson(found->second.figures) == toJson(known.figures));
        RC_ASSERT((found->second.reported || !known.reported));
    }
    for (const auto &[id, order] : before.orders)
        RC_ASSERT((!order.settled || after.orders.at(id).server == order.server));
}

} // namespace

TEST(Replay, Replay_Fuzz_InvariantsHoldAndARestartFromAnySnapshotGivesTheSameState)
{
    auto versions = std::uint64_t(0);
    auto windows = std::size_t(0);
    auto orders = std::size_t(0);
    EXPECT_TRUE(rc::check([&] {
        auto source = RecordSource(*rc::gen::arbitrary<std::uint64_t>());
        const auto restartAt = *rc::gen::inRange<std::uint64_t>(1, RECORDS);
        auto whole = Replay();
        auto restarted = Replay();
        for (auto offset = std::uint64_t(1); offset <= RECORDS; ++offset) {
            const auto record = source.make(offset);
            const auto before = whole.copyState();
            whole.apply(record);
            checkStep(*before, *whole.copyState());
            if (offset == restartAt)
                RC_ASSERT(restarted.restore(whole.serialize()).ok());
            else if (offset > restartAt)
                restarted.apply(record);
        }
        RC_ASSERT(restarted.serialize() == whole.serialize());
        versions += whole.copyState()->configuration->version > 0 ? 1 : 0;
        windows += whole.copyState()->windows.size();
        orders += whole.copyState()->orders.size();
    }));
    // Without enough accepted records of these kinds, the checks above would pass vacuously.
    EXPECT_GT(versions, 90U);
    EXPECT_GT(windows, 300U);
    EXPECT_GT(orders, 300U);
}

TEST(Replay, Replay_Fuzz_RecordReadTwiceTakesEffectOnce)
{
    EXPECT_TRUE(rc::check([] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        auto source = RecordSource(seed);
        auto once = Replay();
        auto twice = Replay();
        auto records = std::vector<Record>();
        for (auto offset = std::uint64_t(1); offset <= RECORDS; ++offset) {
            const auto record = source.make(offset * 2);
            const auto applied = once.apply(record);
            twice.apply(record);
            // A retry at the next offset, as after a lost response, and the same offset read again.
            auto repeat = record;
            repeat.offset += 1;
            const auto repeated = twice.apply(repeat);
            RC_ASSERT(repeated.duplicate);
            RC_ASSERT(repeated.offset == applied.offset);
            RC_ASSERT(repeated.status.ok() == applied.status.ok());
            twice.apply(record);
        }
        auto left = once.copyState();
        auto right = std::make_shared<LogState>(*twice.copyState());
        right->nextOffset = left->nextOffset;
        RC_ASSERT(json::serialize(stateToJson(*left)) == json::serialize(stateToJson(*right)));
    }));
}

TEST(Replay, Replay_Configuration_FirstOfTwoRacingChangesWinsAndTheOtherIsAudited)
{
    auto replay = Replay();
    EXPECT_TRUE(apply(replay, 1, "a", workspaceChange(0, "ana")).status.ok());
    const auto lost = apply(replay, 2, "b", workspaceChange(0, "ben")).status;
    EXPECT_EQ(lost.code(), absl::StatusCode::kAborted);
    EXPECT_NE(std::string(lost.message()).find("test by ana"), std::string::npos);
    const auto state = replay.copyState();
    EXPECT_EQ(state->configuration->version, 1U);
    EXPECT_EQ(state->configuration->workspaces.count("ben"), 0U);
    ASSERT_EQ(state->audit.size(), 2U);
    EXPECT_TRUE(state->audit[1]->conflict);
}

TEST(Replay, Replay_Lease_StaleFencingNumbersChangeNothing)
{
    auto replay = Replay();
    EXPECT_TRUE(apply(replay, 1, "a", claim("usage", 0)).status.ok());
    EXPECT_FALSE(apply(replay, 2, "b", claim("usage", 0)).status.ok());
    EXPECT_TRUE(apply(replay, 3, "c", claim("usage", 1)).status.ok());
    EXPECT_FALSE(apply(replay, 4, "d", window(1, 1, 5)).status.ok());
    EXPECT_TRUE(apply(replay, 5, "e", window(1, 3, 6)).status.ok());
    EXPECT_FALSE(apply(replay, 6, "f", window(1, 3, 7)).status.ok());
    EXPECT_FALSE(apply(replay, 7, "g", window(3, 3, 7)).status.ok());
    EXPECT_EQ(replay.copyState()->windows.at(1).figures.front().requests, 6U);
}

TEST(Replay, Replay_Restore_RejectsAnOlderState)
{
    auto old = Replay();
    apply(old, 1, "a", workspaceChange(0, "ana"));
    auto newer = Replay();
    apply(newer, 1, "a", workspaceChange(0, "ana"));
    apply(newer, 2, "b", workspaceChange(1, "ben"));
    EXPECT_FALSE(newer.restore(old.serialize()).ok());
    EXPECT_EQ(newer.copyState()->configuration->version, 2U);
}
