#include <map>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "process/memory/bodyintake.h"

using namespace nutmegplank;
using namespace nutmegplank::process::memory;
using namespace std::chrono_literals;

namespace {

constexpr auto KILOBYTE = std::uint64_t(1000);

auto limits() -> IntakeLimits
{
    auto limits = IntakeLimits();
    limits.bytes = 1000 * KILOBYTE;
    limits.smallBody = 10 * KILOBYTE;
    return limits;
}

class BodyIntakeTest : public testing::Test
{
protected:
    auto open(const std::string &address, base::TimePoint now) -> BodyIntake::Id
    {
        const auto index = m_opened++;
        return m_intake.open(
            address, [this, index] { m_letGo.push_back(index); }, now);
    }

    BodyIntake m_intake { limits() };
    base::TimePoint m_start { 1h };
    std::size_t m_opened = 0;
    std::vector<std::size_t> m_letGo; //!< By the order of open().
};

} // namespace

TEST_F(BodyIntakeTest, BodyIntake_Calm_GrantsAndLetsNobodyGo)
{
    const auto idle = open("a", m_start);
    const auto other = open("b", m_start);
    EXPECT_EQ(m_intake.resize(idle, 400 * KILOBYTE, m_start), Room::Granted);
    EXPECT_EQ(m_intake.resize(other, 400 * KILOBYTE, m_start + 20s), Room::Granted);
    EXPECT_TRUE(m_letGo.empty());
}

TEST_F(BodyIntakeTest, BodyIntake_WantOfRoom_StalledBodyGoesAndNewestStays)
{
    const auto stalled = open("a", m_start);
    EXPECT_EQ(m_intake.resize(stalled, 800 * KILOBYTE, m_start), Room::Granted);
    const auto newest = open("a", m_start + 2s);
    EXPECT_EQ(m_intake.resize(newest, 100 * KILOBYTE, m_start + 2s), Room::Wait);
    EXPECT_EQ(m_letGo, std::vector<std::size_t>({ 0 }));
    EXPECT_EQ(m_intake.resize(stalled, 800 * KILOBYTE, m_start + 2s), Room::Refused);
    m_intake.close(stalled);
    EXPECT_EQ(m_intake.resize(newest, 100 * KILOBYTE, m_start + 2s), Room::Granted);
}

TEST_F(BodyIntakeTest, BodyIntake_BytesThatDrip_DoNotKeepABody)
{
    const auto dripping = open("a", m_start);
    auto bytes = 800 * KILOBYTE;
    for (auto step = 0; step < 30; ++step)
        EXPECT_EQ(m_intake.resize(dripping, ++bytes, m_start + 100ms * step), Room::Granted);
    const auto other = open("a", m_start + 3s);
    EXPECT_EQ(m_intake.resize(other, 500 * KILOBYTE, m_start + 3s), Room::Wait);
    EXPECT_EQ(m_letGo.size(), 1U);
}

TEST_F(BodyIntakeTest, BodyIntake_BodiesThatGrow_AreNotLetGo)
{
    const auto growing = open("a", m_start);
    for (auto step = 1; step <= 20; ++step)
        EXPECT_EQ(m_intake.resize(growing, 40 * KILOBYTE * step, m_start + 200ms * step),
                  Room::Granted);
    const auto other = open("b", m_start + 4s);
    EXPECT_EQ(m_intake.resize(other, 500 * KILOBYTE, m_start + 4s), Room::Wait);
    EXPECT_TRUE(m_letGo.empty());
    EXPECT_EQ(m_intake.resize(other, 500 * KILOBYTE, m_start + 6s), Room::Refused);
}

TEST_F(BodyIntakeTest, BodyIntake_CompleteBody_IsNotLetGo)
{
    const auto running = open("a", m_start);
    EXPECT_EQ(m_intake.resize(running, 800 * KILOBYTE, m_start), Room::Granted);
    m_intake.complete(running);
    const auto other = open("b", m_start + 5s);
    EXPECT_EQ(m_intake.resize(other, 500 * KILOBYTE, m_start + 5s), Room::Wait);
    EXPECT_TRUE(m_letGo.empty());
}

TEST_F(BodyIntakeTest, BodyIntake_OneAddressHoldsMost_ItsBodiesGoFirst)
{
    const auto lone = open("lone", m_start);
    EXPECT_EQ(m_intake.resize(lone, 200 * KILOBYTE, m_start), Room::Granted);
    for (auto body = 0; body < 6; ++body) {
        const auto crowded = open("crowd", m_start);
        EXPECT_EQ(m_intake.resize(crowded, 100 * KILOBYTE, m_start), Room::Granted);
    }
    const auto other = open("other", m_start + 2s);
    EXPECT_EQ(m_intake.resize(other, 100 * KILOBYTE, m_start + 2s), Room::Wait);
    ASSERT_EQ(m_letGo.size(), 1U);
    EXPECT_NE(m_letGo.front(), 0U);
}

TEST_F(BodyIntakeTest, BodyIntake_LargeBodiesFillTheirPart_SmallOnesAreGranted)
{
    const auto large = open("a", m_start);
    EXPECT_EQ(m_intake.resize(large, 875 * KILOBYTE, m_start), Room::Granted);
    EXPECT_EQ(m_intake.resize(open("a", m_start), 20 * KILOBYTE, m_start), Room::Wait);
    for (auto body = 0; body < 12; ++body)
        EXPECT_EQ(m_intake.resize(open("a", m_start), 10 * KILOBYTE, m_start), Room::Granted);
}

TEST_F(BodyIntakeTest, BodyIntake_MoreThanThePartHolds_IsRefusedAtOnce)
{
    EXPECT_EQ(m_intake.resize(open("a", m_start), 900 * KILOBYTE, m_start), Room::Refused);
}

TEST_F(BodyIntakeTest, BodyIntake_RoomByBits_DoesNotProlongTheWait)
{
    const auto running = open("a", m_start);
    EXPECT_EQ(m_intake.resize(running, 600 * KILOBYTE, m_start), Room::Granted);
    m_intake.complete(running);
    const auto body = open("a", m_start);
    EXPECT_EQ(m_intake.resize(body, 300 * KILOBYTE, m_start), Room::Wait);
    EXPECT_EQ(m_intake.resize(body, 270 * KILOBYTE, m_start + 1500ms), Room::Granted);
    EXPECT_EQ(m_intake.resize(body, 300 * KILOBYTE, m_start + 1500ms), Room::Wait);
    EXPECT_EQ(m_intake.resize(body, 300 * KILOBYTE, m_start + 2s), Room::Refused);
}

TEST_F(BodyIntakeTest, BodyIntake_TooManyWait_TheNextIsRefusedAtOnce)
{
    EXPECT_EQ(m_intake.resize(open("a", m_start), 875 * KILOBYTE, m_start), Room::Granted);
    for (auto body = std::size_t(0); body < limits().waiting; ++body)
        EXPECT_EQ(m_intake.resize(open("a", m_start), 20 * KILOBYTE, m_start), Room::Wait);
    EXPECT_EQ(m_intake.resize(open("a", m_start), 20 * KILOBYTE, m_start), Room::Refused);
}

RC_GTEST_PROP(BodyIntake, BodyIntake_AnyOrder_NeverOverTheLimitAndAllGivenBack,
              (const std::vector<std::tuple<std::uint8_t, std::uint32_t, std::uint16_t>> &steps))
{
    const auto intake = std::make_shared<BodyIntake>(limits());
    auto now = base::TimePoint { 1h };
    auto letGo = std::map<std::size_t, int>();
    auto places = std::vector<BodyPlace>(5);
    for (auto step = std::size_t(0); step < steps.size(); ++step) {
        const auto &[chosen, bytes, milliseconds] = steps[step];
        const auto index = chosen % places.size();
        now += std::chrono::milliseconds(milliseconds % 3000);
        if (chosen % 3 == 0) {
            places[index] = BodyPlace(
                intake, std::to_string(index % 2), [&letGo, step] { ++letGo[step]; }, now);
        } else {
            const auto wanted = bytes % (1100 * KILOBYTE);
            if (places[index].resize(wanted, now) == Room::Refused)
                places[index].close();
        }
        RC_ASSERT(intake->held() <= limits().bytes);
    }
    for (const auto &[step, count] : letGo)
        RC_ASSERT(count == 1);
    places.clear();
    RC_ASSERT(intake->held() == 0U);
}
