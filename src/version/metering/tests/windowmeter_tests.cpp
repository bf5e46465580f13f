#include <gtest/gtest.h>

#include "version/metering/windowmeter.h"

using namespace nutmegplank;
using namespace nutmegplank::version;
using namespace nutmegplank::version::metering;
using namespace std::chrono_literals;

namespace {

constexpr auto WINDOW = 5s;

auto applyAll(MeterLog &log, const std::vector<record::MeterRecord> &records) -> void
{
    for (const auto &record : records)
        log.apply({ 0, record.SerializeAsString() });
}

} // namespace

TEST(WindowMeter, WindowMeter_TwoProcesses_CountsAreSummedByWindow)
{
    auto first = LocalMeter("a", WINDOW);
    auto second = LocalMeter("b", WINDOW);
    first.count("cafe", 10'001);
    first.count("cafe", 14'999);
    first.count("cafe", 15'000);
    second.count("cafe", 10'500);
    auto log = MeterLog();
    applyAll(log, first.takeChangedRecords());
    applyAll(log, second.takeChangedRecords());
    EXPECT_EQ(log.sum(2)["cafe"], 3U);
    EXPECT_EQ(log.sum(3)["cafe"], 1U);
}

TEST(WindowMeter, WindowMeter_DuplicateOrLateRecord_CountsOnce)
{
    auto meter = LocalMeter("a", WINDOW);
    auto log = MeterLog();
    meter.count("cafe", 10'000);
    const auto early = meter.takeChangedRecords();
    meter.count("cafe", 10'001);
    const auto late = meter.takeChangedRecords();
    applyAll(log, late);
    applyAll(log, early);
    applyAll(log, late);
    EXPECT_EQ(log.sum(2)["cafe"], 2U);
}

TEST(WindowMeter, WindowMeter_FailedAppend_RecordsAreReturnedAgain)
{
    auto meter = LocalMeter("a", WINDOW);
    meter.count("cafe", 10'000);
    const auto records = meter.takeChangedRecords();
    EXPECT_TRUE(meter.takeChangedRecords().empty());
    meter.markChanged(records);
    EXPECT_EQ(meter.takeChangedRecords().size(), 1U);
}

TEST(WindowMeter, WindowMeter_WindowClosedTwice_KeepsFirstCounts)
{
    auto log = MeterLog();
    log.apply({ 0, encodeClosedWindow({ 7, { { "cafe", 4 } } }) });
    log.apply({ 1, encodeClosedWindow({ 7, { { "cafe", 5 } } }) });
    ASSERT_TRUE(log.closed(7).has_value());
    EXPECT_EQ(log.closed(7)->counts.at("cafe"), 4U);
    EXPECT_EQ(log.newestClosed(), 7U);
    EXPECT_FALSE(log.closed(8).has_value());
}

TEST(WindowMeter, WindowMeter_WindowEnd_CountsAreRecordedShortlyAfter)
{
    for (const auto *process : { "a", "b", "edge-3#77" }) {
        const auto meter = LocalMeter(process, WINDOW);
        auto trueMs = std::int64_t(11'300);
        auto recordTimes = std::vector<std::int64_t>();
        while (trueMs < 26'000) {
            const auto pause = meter.untilNextRecord(trueMs);
            EXPECT_GT(pause, 0ms);
            EXPECT_LE(pause, 1s);
            trueMs += base::toMilliseconds(pause);
            recordTimes.push_back(trueMs);
        }
        for (const auto end : { 15'000, 20'000, 25'000 })
            EXPECT_TRUE(std::ranges::any_of(recordTimes, [end](auto recordTime) {
                return recordTime > end && recordTime <= end + 310;
            }));
    }
}
