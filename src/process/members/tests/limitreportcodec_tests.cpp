#include <limits>

#include <gtest/gtest.h>

#include "process/members/limitreportcodec.h"

using namespace nutmegplank;
using namespace nutmegplank::process::members;
using namespace std::chrono_literals;

namespace {

const auto NOW = base::TimePoint(base::Duration(1h));

} // namespace

TEST(LimitReportCodec, LimitReportCodec_ReportReadLater_KeepsItsTimes)
{
    auto report = process::requestlimits::LimitReport { 17 };
    report.demand = 2.5;
    report.observation = { { 4.7, NOW - 300ms } };
    const auto encoded = encodeLimitReport(report, NOW);
    const auto read = decodeLimitReport(encoded, NOW);
    EXPECT_EQ(read.server, 17U);
    EXPECT_EQ(read.demand, 2.5);
    ASSERT_TRUE(read.observation.has_value());
    EXPECT_EQ(read.observation->perSecond, 4.7);
    EXPECT_EQ(read.observation->at, NOW - 300ms);
}

TEST(LimitReportCodec, LimitReportCodec_EndOfALimit_IsNotALimitOfZero)
{
    auto report = process::requestlimits::LimitReport { 17 };
    report.observation = { { std::nullopt, NOW } };
    const auto read = decodeLimitReport(encodeLimitReport(report, NOW), NOW);
    ASSERT_TRUE(read.observation.has_value());
    EXPECT_FALSE(read.observation->perSecond.has_value());
}

TEST(LimitReportCodec, LimitReportCodec_FiguresThatAreNoNumbers_CountAsNone)
{
    auto encoded = record::ServerLimitReport();
    encoded.set_demand(std::numeric_limits<double>::quiet_NaN());
    encoded.set_observed(true);
    encoded.set_limited(true);
    encoded.set_per_second(std::numeric_limits<double>::infinity());
    const auto read = decodeLimitReport(encoded, NOW);
    EXPECT_EQ(read.demand, 0);
    EXPECT_FALSE(read.observation->perSecond.has_value());
}
