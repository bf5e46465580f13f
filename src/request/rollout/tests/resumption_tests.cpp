#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "request/rollout/resumption.h"

using namespace nutmegplank;
using namespace nutmegplank::request::rollout;
using namespace std::chrono_literals;

namespace {

auto makeEngine(const std::string &id, const std::string &software) -> EngineLoad
{
    auto engine = EngineLoad();
    engine.id = id;
    engine.service = "engines";
    engine.software = software;
    engine.slots = 4;
    engine.startsLeft = 4;
    engine.modelVersion["m"] = 5;
    return engine;
}

const auto ROUTE = [] {
    auto route = version::routing::Route();
    route.services = { { "engines", 1.0 } };
    return route;
}();

auto makeItem(const std::string &software, bool hasText = true) -> WaitingItem
{
    auto item = WaitingItem();
    item.model = "m";
    item.route = &ROUTE;
    item.hasText = hasText;
    item.software = software;
    return item;
}

} // namespace

TEST(Resumption, Resumption_TextOfAnItem_IsResumedByItsSoftwareOnly)
{
    EXPECT_TRUE(canResumeAt(makeItem("1.0"), makeEngine("a", "1.0")));
    EXPECT_FALSE(canResumeAt(makeItem("1.0"), makeEngine("a", "2.0")));
    EXPECT_TRUE(canResumeAt(makeItem("", false), makeEngine("a", "2.0")));
}

TEST(Resumption, Resumption_SoftwareThatIsNotKnown_FitsNoText)
{
    EXPECT_FALSE(canResumeAt(makeItem(""), makeEngine("a", "")));
    EXPECT_FALSE(canResumeAt(makeItem("1.0"), makeEngine("a", "")));
    auto restarted = makeEngine("a", "1.0");
    restarted.softwareSure = false;
    EXPECT_FALSE(canResumeAt(makeItem("1.0"), restarted));
}

//! A server that came back with other software was known by its old record for a moment.
TEST(Resumption, Resumption_ListOfServersFromBeforeTheLoss_IsNotEnough)
{
    auto item = makeItem("1.0");
    item.waitingSince = base::TimePoint(1h);
    auto engine = makeEngine("a", "1.0");
    engine.softwareAsOf = base::TimePoint(1h - 1ms);
    EXPECT_FALSE(canResumeAt(item, engine));
    engine.softwareAsOf = base::TimePoint(1h);
    EXPECT_TRUE(canResumeAt(item, engine));
}

TEST(Resumption, Resumption_VersionThatHasLeft_BeginsAgainAtOnce)
{
    const auto engines = std::vector { makeEngine("a", "2.0"), makeEngine("b", "2.0") };
    EXPECT_FALSE(reasonToBeginAgain(makeItem("1.0"), engines, 0ms).empty());
    EXPECT_FALSE(reasonToBeginAgain(makeItem(""), engines, 0ms).empty());
    EXPECT_TRUE(reasonToBeginAgain(makeItem("", false), engines, 10s).empty());
}

TEST(Resumption, Resumption_LastServerOfAVersionIsBusy_WaitsForAWhileOnly)
{
    auto busy = makeEngine("a", "1.0");
    busy.running = busy.slots;
    const auto engines = std::vector { busy, makeEngine("b", "2.0") };
    EXPECT_TRUE(reasonToBeginAgain(makeItem("1.0"), engines, 500ms).empty());
    EXPECT_FALSE(reasonToBeginAgain(makeItem("1.0"), engines, 3s).empty());
    // Nobody could run it from its beginning either.
    EXPECT_TRUE(reasonToBeginAgain(makeItem("1.0"), { busy }, 3s).empty());
}

RC_GTEST_PROP(Resumption, Resumption_AnyMixOfVersions_JoinsNoTexts, ())
{
    auto engines = std::vector<EngineLoad>();
    for (auto index = 0; index < *rc::gen::inRange(1, 6); ++index) {
        engines.push_back(
            makeEngine(std::to_string(index), *rc::gen::element<std::string>("", "1.0", "2.0")));
        engines.back().softwareSure = *rc::gen::arbitrary<bool>();
    }
    auto items = std::vector<WaitingItem>();
    for (auto index = std::size_t(0); index < 12; ++index) {
        items.push_back(makeItem(*rc::gen::element<std::string>("", "1.0", "2.0"),
                                 *rc::gen::arbitrary<bool>()));
        items.back().handle = index;
    }
    for (const auto &placed : placeItems(items, engines)) {
        const auto &item = items[placed.handle];
        if (item.hasText)
            RC_ASSERT(item.software == engines[placed.engine].confirmedSoftware()
                      && !item.software.empty());
    }
}
