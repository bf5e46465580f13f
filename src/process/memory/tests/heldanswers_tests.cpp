#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "process/memory/heldanswers.h"

using namespace nutmegplank;
using namespace nutmegplank::process::memory;
using namespace std::chrono_literals;

namespace {

//! Gives a budget of 1000 bytes.
constexpr auto MEMORY_BYTES = std::uint64_t(4000);
constexpr auto START = base::TimePoint(1h);

} // namespace

TEST(HeldAnswers, HeldAnswers_MemoryOfProcess_IsSharedByAnswers)
{
    EXPECT_EQ(HeldAnswers(MEMORY_BYTES).budget().limit(), 1000U);
    EXPECT_GT(HeldAnswers(0).budget().limit(), 0U);
}

TEST(HeldAnswers, HeldAnswers_NoRoomAndAllCallersRead_DisconnectsNobody)
{
    auto answers = HeldAnswers(MEMORY_BYTES);
    auto first = answers.newHolder();
    auto second = answers.newHolder();
    EXPECT_TRUE(answers.hold(first, 800, START));
    answers.beginWriting(800, START, [] { FAIL(); });
    EXPECT_FALSE(answers.hold(second, 300, START + 1s));
    EXPECT_EQ(answers.disconnectedCount(), 0U);
}

TEST(HeldAnswers, HeldAnswers_NoRoom_DisconnectsLargestAndSlowestCallerOnly)
{
    auto answers = HeldAnswers(MEMORY_BYTES);
    auto holders = std::vector<HeldBytes>();
    auto ended = std::vector<int>();
    const auto sizes = std::vector<std::uint64_t> { 100, 500, 400 };
    for (auto index = 0; index < 3; ++index) {
        holders.push_back(answers.newHolder());
        EXPECT_TRUE(answers.hold(holders.back(), sizes[index], START));
        answers.beginWriting(sizes[index], START + index * 1ms,
                             [&ended, index] { ended.push_back(index); });
    }
    auto next = answers.newHolder();
    EXPECT_FALSE(answers.hold(next, 450, START + 5s));
    EXPECT_EQ(ended, std::vector<int>({ 1 }));
    // The caller is being disconnected: its bytes will do.
    EXPECT_FALSE(answers.hold(next, 450, START + 6s));
    EXPECT_EQ(ended, std::vector<int>({ 1 }));
    holders[1] = answers.newHolder();
    answers.endWriting(2);
    EXPECT_TRUE(answers.hold(next, 450, START + 6s));
}

TEST(HeldAnswers, HeldAnswers_SameSize_DisconnectsSlowerCaller)
{
    auto answers = HeldAnswers(MEMORY_BYTES);
    auto ended = std::vector<int>();
    answers.beginWriting(500, START + 1s, [&ended] { ended.push_back(1); });
    answers.beginWriting(500, START, [&ended] { ended.push_back(0); });
    auto held = answers.newHolder();
    EXPECT_TRUE(answers.hold(held, 1000, START));
    EXPECT_FALSE(answers.hold(held, 1001, START + 4s));
    EXPECT_EQ(ended, std::vector<int>({ 0 }));
}

RC_GTEST_PROP(HeldAnswers, HeldAnswers_CallersThatNeverRead_NextAnswerFitsInTime,
              (const std::vector<std::uint16_t> &sizes))
{
    auto answers = HeldAnswers(MEMORY_BYTES);
    auto holders = std::map<std::uint64_t, HeldBytes>();
    auto gone = std::vector<std::uint64_t>();
    auto now = START;
    for (const auto size : sizes) {
        const auto bytes = std::uint64_t(size % 1000) + 1;
        auto held = answers.newHolder();
        auto tries = 0;
        while (!answers.hold(held, bytes, now)) {
            for (const auto id : gone) {
                holders.erase(id);
                answers.endWriting(id);
            }
            gone.clear();
            now += 1s;
            RC_ASSERT(++tries < 5);
        }
        RC_ASSERT(answers.budget().held() <= answers.budget().limit());
        auto id = std::make_shared<std::uint64_t>();
        *id = answers.beginWriting(bytes, now, [&gone, id] { gone.push_back(*id); });
        holders.emplace(*id, std::move(held));
    }
}
