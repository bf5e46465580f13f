// Slow but sound streams must not be cut, and stalled ones must end, also if they still send bytes.
#include <gtest/gtest.h>

#include "request/rollout/runmonitor.h"

using namespace nutmegplank::request::rollout;
using namespace std::chrono_literals;

TEST(RunMonitor, RunMonitor_SilentEngine_EndsTheRun)
{
    auto run = MonitoredRun();
    run.silence = 1200ms;
    EXPECT_FALSE(checkProgress(run).has_value());
    run.silence = 1400ms;
    const auto termination = checkProgress(run);
    ASSERT_TRUE(termination.has_value());
    EXPECT_EQ(termination->end, RunEnd::Broken);
    EXPECT_TRUE(termination->silent);
}

TEST(RunMonitor, RunMonitor_LoadingWeights_HasALongerSilenceTimeout)
{
    auto run = MonitoredRun();
    run.loading = true;
    run.silence = 2s;
    EXPECT_FALSE(checkProgress(run).has_value());
    run.silence = 4s;
    EXPECT_TRUE(checkProgress(run).has_value());
}

//! Large events of a slow model come seconds apart.
TEST(RunMonitor, RunMonitor_SlowButSoundEngine_IsNotCut)
{
    auto run = MonitoredRun();
    run.eventInterval = 900ms;
    run.silence = 3s;
    EXPECT_FALSE(checkProgress(run).has_value());
    run.silence = 8s;
    EXPECT_TRUE(checkProgress(run).has_value());
}

//! No interval is known of an engine whose first event takes longer than the limit: each run would
//! be cut before it.
TEST(RunMonitor, RunMonitor_ItemCutAsSilentBefore_GetsMoreTime)
{
    auto run = MonitoredRun();
    run.earlierSilences = 2;
    run.silence = 5s;
    EXPECT_FALSE(checkProgress(run).has_value());
    run.silence = 6s;
    EXPECT_TRUE(checkProgress(run).has_value());
    run.earlierSilences = 60;
    run.silence = 21s;
    EXPECT_TRUE(checkProgress(run).has_value());
}

//! An item that was at engines without power several times waited for up to 21 s at the next one.
TEST(RunMonitor, RunMonitor_EngineThatIsAnotherProcessOrGone_DoesNotGetMoreTime)
{
    auto run = MonitoredRun();
    run.earlierSilences = 4;
    run.silence = 1400ms;
    EXPECT_FALSE(checkProgress(run).has_value());
    run.registered = false;
    EXPECT_EQ(checkProgress(run)->end, RunEnd::Broken);
    run.registered = true;
    run.restarted = true;
    run.silence = 0ms;
    EXPECT_EQ(checkProgress(run)->end, RunEnd::Broken);
    EXPECT_FALSE(checkProgress(run)->silent);
}

TEST(RunMonitor, RunMonitor_ZoneOutOrRouteRemoved_CancelsTheRun)
{
    auto run = MonitoredRun();
    run.zoneOut = true;
    EXPECT_EQ(checkProgress(run)->end, RunEnd::Cancelled);
    run = MonitoredRun();
    run.hasRoute = false;
    EXPECT_EQ(checkProgress(run)->end, RunEnd::Cancelled);
}
