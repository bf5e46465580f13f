#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "version/streamorigin/baselineplanner.h"
#include "version/streamorigin/origincodec.h"
#include "version/streamorigin/originlog.h"

using namespace nutmegplank;
using namespace nutmegplank::version::streamorigin;
namespace routing = nutmegplank::version::routing;
using namespace std::chrono_literals;

namespace {

const auto NOW = base::TimePoint(base::Duration(1h));
constexpr auto SERVICE = "talk";
const auto CALLER = routing::workspaceOwner("amend");

auto withBaseline(const std::string &software) -> OriginLog
{
    auto log = OriginLog();
    log.setBaseline(SERVICE, { software });
    log.noteBaselinesRead(NOW);
    return log;
}

} // namespace

TEST(OriginLog, OriginLog_StreamAtTheBaseline_NeedsNoRecord)
{
    const auto log = withBaseline("1.0");
    EXPECT_FALSE(log.mustRecord(SERVICE, "1.0", NOW));
    EXPECT_TRUE(log.mustRecord(SERVICE, "2.0", NOW));
    EXPECT_TRUE(log.mustRecord(SERVICE, "", NOW));
    EXPECT_TRUE(OriginLog().mustRecord(SERVICE, "1.0", NOW));
}

//! With a short lifetime no stream could begin while the log was away for a while.
TEST(OriginLog, OriginLog_LogAwayForAMinute_StreamsStillBeginAtTheBaseline)
{
    EXPECT_FALSE(withBaseline("1.0").mustRecord(SERVICE, "1.0", NOW + 60s));
}

TEST(OriginLog, OriginLog_BaselineThatMayHaveChanged_NeedsARecord)
{
    auto log = withBaseline("1.0");
    EXPECT_TRUE(log.mustRecord(SERVICE, "1.0", NOW + BASELINE_LIFETIME));
    log.setBaseline(SERVICE, { "1.0", true });
    EXPECT_TRUE(log.mustRecord(SERVICE, "1.0", NOW));
    EXPECT_EQ(log.find(SERVICE, "r1", CALLER, LogView::Complete, false), "1.0");
}

TEST(OriginLog, OriginLog_StreamWithoutARecord_BeganAtTheBaselineIfTheWholeLogWasRead)
{
    const auto log = withBaseline("1.0");
    EXPECT_EQ(log.find(SERVICE, "r1", CALLER, LogView::Complete, false), "1.0");
    EXPECT_EQ(log.find(SERVICE, "r1", CALLER, LogView::Stale, false), std::nullopt);
    EXPECT_EQ(OriginLog().find(SERVICE, "r1", CALLER, LogView::Complete, true), std::nullopt);
}

TEST(OriginLog, OriginLog_RecordedStream_BeganAtItsLastRecord)
{
    auto log = withBaseline("1.0");
    log.apply({ "r1", SERVICE, "2.0" }, RecordSource::Log, NOW);
    EXPECT_EQ(log.find(SERVICE, "r1", CALLER, LogView::Complete, true), "2.0");
    log.apply({ "r1", SERVICE, "1.0" }, RecordSource::Log, NOW);
    EXPECT_EQ(log.find(SERVICE, "r1", CALLER, LogView::Complete, false), "1.0");
}

//! Two workspaces chose one id. The one whose stream had no record went on at the version of the
//! other's.
TEST(OriginLog, OriginLog_SameIdOfTwoOwners_NeverTakesTheOthersBeginning)
{
    const auto other = routing::workspaceOwner("cafe");
    const auto anonymous = routing::Owner { routing::OwnerKind::Anonymous };
    auto log = withBaseline("1.0");
    log.apply({ "r1", SERVICE, "2.0", CALLER }, RecordSource::OwnWrite, NOW);
    EXPECT_EQ(log.find(SERVICE, "r1", CALLER, LogView::Complete, true), "2.0");
    EXPECT_EQ(log.find(SERVICE, "r1", other, LogView::Complete, true), std::nullopt);
    EXPECT_EQ(log.find(SERVICE, "r1", anonymous, LogView::Complete, true), std::nullopt);
    log.apply({ "r1", SERVICE, "3.0", other }, RecordSource::Log, NOW + 1s);
    log.apply({ "r1", SERVICE, "4.0", anonymous }, RecordSource::Log, NOW + 1s);
    EXPECT_EQ(log.find(SERVICE, "r1", CALLER, LogView::Complete, true), "2.0");
    EXPECT_EQ(log.find(SERVICE, "r1", other, LogView::Complete, true), "3.0");
    EXPECT_EQ(log.find(SERVICE, "r1", anonymous, LogView::Complete, true), "4.0");
    log.expire(NOW + 120s);
    EXPECT_EQ(log.find(SERVICE, "r1", CALLER, LogView::Complete, true), std::nullopt);
    EXPECT_EQ(log.find(SERVICE, "r1", other, LogView::Complete, true), "3.0");
}

//! A stream goes on though workspaces came or went, or the program was replaced, meanwhile.
TEST(OriginLog, OriginLog_OwnerThatCannotBeTold_IsTheCallerIfThereIsNoOther)
{
    const auto shared = routing::Owner { routing::OwnerKind::Shared };
    auto log = withBaseline("1.0");
    log.apply({ "former", SERVICE, "2.0" }, RecordSource::Log, NOW);
    log.apply({ "shared", SERVICE, "2.0", shared }, RecordSource::Log, NOW);
    log.apply({ "owned", SERVICE, "2.0", CALLER }, RecordSource::Log, NOW);
    EXPECT_EQ(log.find(SERVICE, "former", CALLER, LogView::Complete, true), "2.0");
    EXPECT_EQ(log.find(SERVICE, "shared", CALLER, LogView::Complete, true), "2.0");
    EXPECT_EQ(log.find(SERVICE, "owned", shared, LogView::Complete, true), "2.0");
    log.apply({ "owned", SERVICE, "3.0", routing::workspaceOwner("cafe") }, RecordSource::Log, NOW);
    EXPECT_EQ(log.find(SERVICE, "owned", shared, LogView::Complete, true), std::nullopt);
}

TEST(OriginCodec, OriginCodec_Owner_IsReadBack)
{
    for (const auto &owner : std::vector<std::optional<routing::Owner>> {
             std::nullopt, CALLER, routing::Owner { routing::OwnerKind::Anonymous },
             routing::Owner { routing::OwnerKind::Shared } })
        EXPECT_EQ(decodeOrigin(encodeOrigin({ "r1", SERVICE, "2.0", owner }))->owner, owner);
}

//! A machine that was cut off while servers of a new version joined had seen the baseline only. It
//! resumed streams of the new version, which others had begun, at the baseline.
TEST(OriginLog, OriginLog_MachineThatIsBehind_KnowsOnlyItsOwnStreams)
{
    auto log = withBaseline("1.0");
    EXPECT_EQ(log.find(SERVICE, "r1", CALLER, LogView::Stale, true), std::nullopt);
    EXPECT_EQ(log.find(SERVICE, "", CALLER, LogView::Stale, true), std::nullopt);
    // Its beginning may have been recorded again since.
    log.apply({ "r2", SERVICE, "1.0" }, RecordSource::Log, NOW);
    EXPECT_EQ(log.find(SERVICE, "r2", CALLER, LogView::Stale, true), std::nullopt);
    log.apply({ "r3", SERVICE, "2.0" }, RecordSource::OwnWrite, NOW);
    EXPECT_EQ(log.find(SERVICE, "r3", CALLER, LogView::Stale, true), "2.0");
}

TEST(OriginLog, OriginLog_OwnRecordReadBack_KeepsTheLastOne)
{
    auto log = withBaseline("1.0");
    log.apply({ "r1", SERVICE, "1.0" }, RecordSource::OwnWrite, NOW);
    log.apply({ "r1", SERVICE, "2.0" }, RecordSource::OwnWrite, NOW);
    log.apply({ "r1", SERVICE, "1.0" }, RecordSource::Log, NOW);
    EXPECT_EQ(log.find(SERVICE, "r1", CALLER, LogView::Stale, true), "2.0");
}

TEST(OriginLog, OriginLog_BeginningThatIsNotKnown_IsNotGuessed)
{
    auto log = withBaseline("1.0");
    log.apply({ "r1", SERVICE, "" }, RecordSource::Log, NOW);
    EXPECT_EQ(log.find(SERVICE, "r1", CALLER, LogView::Complete, true), std::nullopt);
    // The caller does not name the attempt that began the stream.
    EXPECT_EQ(log.find(SERVICE, "", CALLER, LogView::Complete, false), std::nullopt);
    EXPECT_EQ(log.find(SERVICE, "", CALLER, LogView::Complete, true), "1.0");
}

TEST(OriginLog, OriginLog_OldRecords_AreForgotten)
{
    auto log = withBaseline("1.0");
    log.apply({ "r1", SERVICE, "2.0" }, RecordSource::Log, NOW);
    log.apply({ "r1", SERVICE, "2.0" }, RecordSource::Log, NOW + 100s);
    log.expire(NOW + 130s);
    EXPECT_EQ(log.size(), 1U);
    log.expire(NOW + 230s);
    EXPECT_EQ(log.size(), 0U);
}

TEST(BaselinePlanner, BaselinePlanner_ServiceWithoutABaseline_GetsTheMostCommonVersion)
{
    auto planner = BaselinePlanner(NOW);
    const auto planned =
        planner.plan({ { SERVICE, { "2.0", "1.0", "1.0", "" } }, { "x", { "" } } }, {}, NOW);
    EXPECT_EQ(planned, (BaselinesByService { { SERVICE, { "1.0" } } }));
}

TEST(BaselinePlanner, BaselinePlanner_VersionThatLeft_IsReplacedWhenNoStreamOfItCanBeTakenUp)
{
    auto planner = BaselinePlanner(NOW);
    auto baselines = BaselinesByService { { SERVICE, { "1.0" } } };
    planner.observe({ { SERVICE, { "1.0", "2.0", "2.0" } } }, baselines, NOW + 100s);
    const auto newer = VersionsByService { { SERVICE, { "2.0", "2.0" } } };
    planner.observe(newer, baselines, NOW + 101s);
    EXPECT_TRUE(planner.plan(newer, baselines, NOW + 105s).empty());
    EXPECT_EQ(planner.plan(newer, baselines, NOW + 111s).at(SERVICE), (Baseline { "1.0", true }));
    planner.observe(newer, baselines, NOW + 111s);
    baselines[SERVICE].closing = true;
    planner.observe(newer, baselines, NOW + 112s);
    const auto replacedAt = NOW + 111s + TAKE_UP_TIME + BASELINE_LIFETIME;
    EXPECT_TRUE(planner.plan(newer, baselines, replacedAt - 1s).empty());
    EXPECT_EQ(planner.plan(newer, baselines, replacedAt).at(SERVICE), (Baseline { "2.0" }));
    // A process that has just started does not know how long the baseline has been closed.
    EXPECT_TRUE(BaselinePlanner(replacedAt).plan(newer, baselines, replacedAt + 1s).empty());
}

TEST(BaselinePlanner, BaselinePlanner_OtherVersion_IsRememberedWhileItsStreamsAreTakenUp)
{
    auto planner = BaselinePlanner(NOW);
    const auto baselines = BaselinesByService { { SERVICE, { "1.0" } } };
    EXPECT_FALSE(planner.onlyBaseline(SERVICE, NOW));
    planner.observe({ { SERVICE, { "1.0", "2.0" } } }, baselines, NOW + 1s);
    planner.observe({ { SERVICE, { "1.0" } } }, baselines, NOW + 2s);
    EXPECT_FALSE(planner.onlyBaseline(SERVICE, NOW + 60s));
    EXPECT_TRUE(planner.onlyBaseline(SERVICE, NOW + 61s));
}

//! Between two looks at the list a server of another version can come and leave again.
TEST(BaselinePlanner, BaselinePlanner_ServerThatCameAndLeft_IsRemembered)
{
    auto planner = BaselinePlanner(NOW);
    const auto baselines = BaselinesByService { { SERVICE, { "1.0" } } };
    planner.observe({ { SERVICE, { "1.0" } } }, baselines, NOW + 61s);
    EXPECT_TRUE(planner.onlyBaseline(SERVICE, NOW + 61s));
    planner.observeServer(SERVICE, "2.0", baselines, NOW + 62s);
    planner.observe({ { SERVICE, { "1.0" } } }, baselines, NOW + 63s);
    EXPECT_FALSE(planner.onlyBaseline(SERVICE, NOW + 121s));
    EXPECT_TRUE(planner.onlyBaseline(SERVICE, NOW + 122s));
}

//! What was compacted away may have held a server of another version.
TEST(BaselinePlanner, BaselinePlanner_GapInTheHistory_HidesOtherVersions)
{
    auto planner = BaselinePlanner(NOW);
    const auto baselines = BaselinesByService { { SERVICE, { "1.0" } }, { "other", { "1.0" } } };
    planner.observe({ { SERVICE, { "1.0" } } }, baselines, NOW + 61s);
    planner.noteGap(NOW + 61s);
    planner.observe({ { SERVICE, { "1.0" } }, { "other", { "1.0" } } }, baselines, NOW + 62s);
    EXPECT_FALSE(planner.onlyBaseline(SERVICE, NOW + 120s));
    EXPECT_FALSE(planner.onlyBaseline("other", NOW + 120s));
    EXPECT_TRUE(planner.onlyBaseline(SERVICE, NOW + 121s));
}

//! Streams begin and are taken up while versions come, go and come back: no take-up is answered
//! with a version that did not begin the stream.
RC_GTEST_PROP(StreamOrigin, StreamOrigin_AnyReleases_NoStreamIsJoined, ())
{
    struct Begun
    {
        std::string id;
        std::string software;
        base::TimePoint at;
    };
    const auto versions = std::vector<std::string> { "1.0", "2.0", "3.0" };
    auto written = std::vector<StreamOrigin>();
    auto baselines = BaselinesByService();
    auto planner = BaselinePlanner(NOW);
    auto machine = OriginLog();
    auto begun = std::vector<Begun>();
    auto now = NOW;
    for (auto step = 0; step < 100; ++step) {
        now += std::chrono::seconds(*rc::gen::inRange(0, 40));
        auto servers = std::vector<std::string>();
        for (auto count = *rc::gen::inRange(1, 4); count > 0; --count)
            servers.push_back(versions[*rc::gen::inRange<std::size_t>(0, versions.size())]);
        planner.observe({ { SERVICE, servers } }, baselines, now);
        for (const auto &[service, baseline] :
             planner.plan({ { SERVICE, servers } }, baselines, now))
            baselines[service] = baseline;
        // The machine is sometimes restarted, and reads the baselines only now and then.
        if (*rc::gen::inRange(0, 8) == 0)
            machine = OriginLog();
        if (*rc::gen::arbitrary<bool>()) {
            for (const auto &[service, baseline] : baselines)
                machine.setBaseline(service, baseline);
            machine.noteBaselinesRead(now);
        }
        const auto &software = servers.front();
        const auto id = std::to_string(step);
        if (machine.mustRecord(SERVICE, software, now))
            written.push_back({ id, SERVICE, software, CALLER });
        begun.push_back({ id, software, now });
        auto reader = OriginLog();
        for (const auto &[service, baseline] : baselines)
            reader.setBaseline(service, baseline);
        for (const auto &origin : written)
            reader.apply(origin, RecordSource::Log, now);
        for (const auto &stream : begun) {
            if (now - stream.at >= TAKE_UP_TIME)
                continue;
            const auto found = reader.find(SERVICE, stream.id, CALLER, LogView::Complete, false);
            RC_ASSERT(!found.has_value() || *found == stream.software);
        }
    }
}
