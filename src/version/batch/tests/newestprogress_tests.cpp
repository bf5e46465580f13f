#include <gtest/gtest.h>

#include "version/batch/newestprogress.h"

using namespace nutmegplank::version::batch;

TEST(NewestProgress, NewestProgress_ManyRecordsOfAnItem_LeaveTheLongestText)
{
    auto newest = NewestProgress();
    newest.add({ { 1, 5, 5, "five", {}, "1.0", false } });
    newest.add({ { 1, 3, 3, "three", {}, "1.0", false }, { 2, 1, 1, "one", {}, "1.0", false } });
    const auto items = newest.take();
    ASSERT_EQ(items.size(), 2U);
    EXPECT_EQ(items[0].text, "five");
    EXPECT_EQ(items[1].text, "one");
}

TEST(NewestProgress, NewestProgress_CompleteText_ReplacesTheSameTextUnfinished)
{
    auto newest = NewestProgress();
    newest.add({ { 1, 5, 5, "five", {}, "1.0", false } });
    newest.add({ { 1, 5, 5, "five", {}, "1.0", true } });
    EXPECT_TRUE(newest.take().at(0).complete);
}

//! A text that was larger than allowed used to be resumed by the next lease holder.
TEST(NewestProgress, NewestProgress_DiscardedText_IsNotResumed)
{
    auto newest = NewestProgress();
    newest.add({ { 1, 40, 40, "no answer", {}, "1.0", false } });
    newest.add({ { 1, 0, 0, "", {}, "", false } });
    newest.add({ { 1, 2, 2, "two", {}, "1.0", false } });
    const auto items = newest.take();
    ASSERT_EQ(items.size(), 1U);
    EXPECT_EQ(items[0].text, "two");
}
