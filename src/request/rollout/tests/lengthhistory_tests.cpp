// Load: callers' hints are right at the median only; a few items are several times longer.
#include <gtest/gtest.h>

#include "request/rollout/lengthhistory.h"

using namespace nutmegplank::request::rollout;

namespace {

constexpr auto ITEMS = 200;

//! Nine of ten items are as long as their hint, the others five times as long.
auto makeHistory() -> LengthHistory
{
    auto history = LengthHistory();
    for (auto item = 0; item < ITEMS; ++item)
        history.noteLength("r", 20.0, item % 10 == 0 ? 100 : 20);
    return history;
}

} // namespace

TEST(LengthHistory, LengthHistory_NewItem_IsExpectedAsItsRouteShows)
{
    const auto history = makeHistory();
    EXPECT_DOUBLE_EQ(history.remainingEvents("r", 10.0, 0, 0.5), 10.0);
    EXPECT_DOUBLE_EQ(history.remainingEvents("r", 10.0, 0, 0.95), 50.0);
}

TEST(LengthHistory, LengthHistory_ItemBeyondItsHint_IsComparedWithThoseBeyondTheirs)
{
    EXPECT_DOUBLE_EQ(makeHistory().remainingEvents("r", 20.0, 21, 0.5), 79.0);
}

TEST(LengthHistory, LengthHistory_ItemLongerThanAllKnown_HasRestByItsLength)
{
    EXPECT_DOUBLE_EQ(makeHistory().remainingEvents("r", 20.0, 120, 0.5), 60.0);
}

TEST(LengthHistory, LengthHistory_NothingKnown_HintIsTheMedian)
{
    const auto history = LengthHistory();
    EXPECT_DOUBLE_EQ(history.remainingEvents("r", 20.0, 0, 0.5), 20.0);
    EXPECT_GT(history.remainingEvents("r", 20.0, 0, 0.8), 25.0);
    EXPECT_GE(history.remainingEvents("r", 20.0, 19, 0.0), 1.0);
}

TEST(LengthHistory, LengthHistory_RouteChangesItsLengths_OldOnesAreForgotten)
{
    auto history = LengthHistory();
    for (auto item = 0; item < 600; ++item)
        history.noteLength("r", 20.0, 20);
    for (auto item = 0; item < 600; ++item)
        history.noteLength("r", 20.0, 60);
    EXPECT_DOUBLE_EQ(history.remainingEvents("r", 20.0, 0, 0.01), 60.0);
}
