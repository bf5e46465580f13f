#include <gtest/gtest.h>

#include "request/forward/requestbytes.h"

using namespace nutmegplank::request::forward;

namespace {

constexpr auto MEGABYTE = std::uint64_t(1024 * 1024);
constexpr auto MACHINES = std::size_t(8);

} // namespace

TEST(RequestBytes, RequestBytes_LargeRequestsBeyondShare_WaitForEarlierOnes)
{
    auto bytes = RequestBytes();
    bytes.begin("a", 3 * MEGABYTE);
    EXPECT_TRUE(bytes.fits("a", MEGABYTE, MACHINES));
    EXPECT_FALSE(bytes.fits("a", MEGABYTE + 1, MACHINES));
    EXPECT_TRUE(bytes.fits("b", 4 * MEGABYTE, MACHINES));
    bytes.end("a", 3 * MEGABYTE);
    EXPECT_TRUE(bytes.fits("a", MEGABYTE + 1, MACHINES));
}

TEST(RequestBytes, RequestBytes_RequestLargerThanShare_GoesAlone)
{
    auto bytes = RequestBytes();
    EXPECT_TRUE(bytes.fits("a", 8 * MEGABYTE, MACHINES));
    bytes.begin("a", 8 * MEGABYTE);
    EXPECT_FALSE(bytes.fits("a", MEGABYTE, MACHINES));
}

TEST(RequestBytes, RequestBytes_SmallRequests_PassLargeOnes)
{
    auto bytes = RequestBytes();
    bytes.begin("a", 8 * MEGABYTE);
    bytes.begin("a", 800);
    EXPECT_TRUE(bytes.fits("a", 800, MACHINES));
    bytes.end("a", 800);
    bytes.end("a", 8 * MEGABYTE);
    EXPECT_TRUE(bytes.fits("a", 8 * MEGABYTE, MACHINES));
}
