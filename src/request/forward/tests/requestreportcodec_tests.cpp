#include <gtest/gtest.h>

#include "request/forward/requestreportcodec.h"

using namespace nutmegplank;
using namespace nutmegplank::request::forward;
using namespace std::chrono_literals;

namespace {

const auto NOW = base::TimePoint(1h);

} // namespace

TEST(RequestReportCodec, RequestReportCodec_Report_KeepsProcessesAndAges)
{
    auto report = RequestReport { "f" };
    report.crashes = { { 0, NOW - 3s }, { ~0ULL, NOW - 1500ms } };
    report.answeredAt = NOW - 20ms;
    // Another machine reads it by its own clock.
    const auto there = NOW + 24h;
    const auto read = decodeReport(encodeReport(report, NOW), there);
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->fingerprint, "f");
    ASSERT_EQ(read->crashes.size(), 2U);
    EXPECT_EQ(read->crashes[0].process, 0U);
    EXPECT_EQ(read->crashes[0].at, there - 3s);
    EXPECT_EQ(read->crashes[1].process, ~0ULL);
    EXPECT_EQ(read->crashes[1].at, there - 1500ms);
    EXPECT_EQ(read->answeredAt, there - 20ms);
}

TEST(RequestReportCodec, RequestReportCodec_OlderOrMalformedText_IsIgnored)
{
    for (const auto *text : { "", " ", "0123456789abcdef0123456789abcdef", "f ", "f x@1", "f 1@",
                              "f 1", "f @", "f 1@-5", "f 1@99999999999", "f 1@2 answered@x",
                              "f  1@2", " 1@2", "f 11111111111111111@2" })
        EXPECT_FALSE(decodeReport(text, NOW).has_value()) << text;
}
