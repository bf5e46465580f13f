#include <array>

#include <gtest/gtest.h>

#include "request/forward/poisonrequestdetector.h"

using namespace nutmegplank;
using namespace nutmegplank::request::forward;
using namespace std::chrono_literals;

namespace {

const auto NOW = base::TimePoint(1h);
constexpr auto RETENTION = base::Duration(120s);
const auto REQUEST = std::string("f");

//! A process of \a server ends while it runs the request.
auto crash(PoisonRequestDetector &detector, const std::string &server, base::TimePoint now = NOW,
           const std::string &request = REQUEST) -> void
{
    detector.recordLoss(request, server, 1, now);
    detector.noteProcessEnded(server, 1, now);
}

//! \a to reads the heartbeat of \a from.
auto tell(const PoisonRequestDetector &from, PoisonRequestDetector &to, base::TimePoint now) -> void
{
    for (const auto &report : from.reports(now))
        to.hear(report, now);
}

} // namespace

TEST(PoisonRequestDetector, PoisonRequestDetector_ThirdCrashOnAnyMachine_RefusesRequest)
{
    auto here = PoisonRequestDetector();
    auto there = PoisonRequestDetector();
    crash(here, "a");
    crash(here, "b");
    EXPECT_FALSE(here.isPoison(REQUEST, NOW));
    crash(there, "c");
    for (auto heartbeat = 0; heartbeat < 3; ++heartbeat)
        tell(there, here, NOW);
    EXPECT_TRUE(here.isPoison(REQUEST, NOW));
    EXPECT_FALSE(there.isPoison(REQUEST, NOW));
    tell(here, there, NOW);
    EXPECT_TRUE(there.isPoison(REQUEST, NOW));
}

TEST(PoisonRequestDetector, PoisonRequestDetector_MachinesThatTellEachOther_LetTheMarkEnd)
{
    auto machines = std::array<PoisonRequestDetector, 3>();
    crash(machines[0], "a", NOW);
    crash(machines[1], "b", NOW + 1s);
    crash(machines[2], "c", NOW + 2s);
    const auto over = NOW + 2s + RETENTION;
    for (auto now = NOW + 2s; now < over + 60s; now += 900ms) {
        for (auto &from : machines) {
            from.expire(now);
            for (auto &to : machines) {
                if (&from != &to)
                    tell(from, to, now);
            }
        }
        const auto shouldRefuse = now >= NOW + 4s && now < over;
        for (const auto &machine : machines) {
            if (shouldRefuse)
                EXPECT_TRUE(machine.isPoison(REQUEST, now));
            if (now >= over) {
                EXPECT_FALSE(machine.isPoison(REQUEST, now));
                EXPECT_TRUE(machine.reports(now).empty());
            }
        }
    }
}

//! A restarted machine reads the last heartbeat of one that is long gone.
TEST(PoisonRequestDetector, PoisonRequestDetector_OldHeartbeat_DoesNotRenewTheMark)
{
    auto here = PoisonRequestDetector();
    auto report = RequestReport { REQUEST };
    for (auto process = 1U; process <= 3; ++process)
        report.crashes.push_back({ process, NOW - RETENTION });
    here.hear(report, NOW);
    EXPECT_FALSE(here.isPoison(REQUEST, NOW));
    // A clock that errs makes nothing younger that was heard before.
    for (auto &ended : report.crashes)
        ended.at = NOW;
    here.hear(report, NOW);
    for (auto &ended : report.crashes)
        ended.at = NOW + 1min;
    here.hear(report, NOW + 1min);
    EXPECT_FALSE(here.isPoison(REQUEST, NOW + RETENTION));
}

TEST(PoisonRequestDetector, PoisonRequestDetector_BrokenConnections_AreNoCrashes)
{
    auto here = PoisonRequestDetector();
    for (auto loss = 0; loss < 100; ++loss)
        here.recordLoss(REQUEST, "a", 1, NOW);
    EXPECT_FALSE(here.isPoison(REQUEST, NOW));
    EXPECT_TRUE(here.reports(NOW).empty());
    // The process answers a later request, and ends for another reason afterwards.
    here.noteProcessAlive("a", NOW + 100ms);
    here.noteProcessEnded("a", 1, NOW + 1s);
    EXPECT_TRUE(here.reports(NOW).empty());
    // An answer to what was sent before the loss tells nothing.
    here.recordLoss(REQUEST, "a", 1, NOW);
    here.noteProcessAlive("a", NOW - 100ms);
    here.noteProcessEnded("a", 1, NOW + 1s);
    EXPECT_EQ(here.reports(NOW + 1s).size(), 1U);
    // Evidence that comes too late, or of another process.
    here.recordLoss("late", "a", 1, NOW);
    here.noteProcessEnded("a", 2, NOW + 1s);
    here.noteProcessEnded("a", 1, NOW + 15s);
    EXPECT_EQ(here.reports(NOW + 15s).size(), 1U);
}

//! Many equal requests at one process, and copies of them at other machines: one crash.
TEST(PoisonRequestDetector, PoisonRequestDetector_EqualRequestsAtOneProcess_CountOnce)
{
    auto here = PoisonRequestDetector();
    auto there = PoisonRequestDetector();
    for (auto *machine : { &here, &there }) {
        for (auto copy = 0; copy < 20; ++copy)
            machine->recordLoss(REQUEST, "a", 1, NOW);
        machine->noteProcessEnded("a", 1, NOW);
        crash(*machine, "a");
    }
    tell(there, here, NOW);
    ASSERT_EQ(here.reports(NOW).size(), 1U);
    EXPECT_EQ(here.reports(NOW)[0].crashes.size(), 1U);
    crash(here, "b");
    EXPECT_FALSE(here.isPoison(REQUEST, NOW));
    crash(here, "c");
    EXPECT_TRUE(here.isPoison(REQUEST, NOW));
}

//! The store is away, so that no other incarnation is known.
TEST(PoisonRequestDetector, PoisonRequestDetector_ServerThatIsBackWithoutARecord_CountsAgain)
{
    auto here = PoisonRequestDetector();
    auto there = PoisonRequestDetector();
    for (auto *machine : { &here, &there }) {
        crash(*machine, "a", NOW);
        crash(*machine, "a", NOW + 500ms);
        crash(*machine, "a", NOW + 5s);
    }
    tell(there, here, NOW + 5s);
    EXPECT_FALSE(here.isPoison(REQUEST, NOW + 5s));
    crash(there, "a", NOW + 10s);
    EXPECT_TRUE(there.isPoison(REQUEST, NOW + 10s));
    tell(there, here, NOW + 10s);
    EXPECT_TRUE(here.isPoison(REQUEST, NOW + 10s));
}

TEST(PoisonRequestDetector, PoisonRequestDetector_RequestThatIsOtherwiseAnswered_IsNeverMarked)
{
    auto here = PoisonRequestDetector();
    here.recordAnswer(REQUEST, NOW);
    for (const auto *server : { "a", "b", "c", "d" })
        crash(here, server, NOW + 5s);
    EXPECT_FALSE(here.isPoison(REQUEST, NOW + 5s));
    // The one that ran beside it is, after three.
    for (const auto *server : { "a", "b", "c" })
        crash(here, server, NOW + 5s, "killer");
    EXPECT_TRUE(here.isPoison("killer", NOW + 5s));
    // The end becomes known only after a copy was answered elsewhere.
    here.recordLoss("other", "e", 1, NOW);
    here.recordAnswer("other", NOW + 1s);
    here.noteProcessEnded("e", 1, NOW + 2s);
    for (const auto &report : here.reports(NOW + 5s))
        EXPECT_NE(report.fingerprint, "other");
}

TEST(PoisonRequestDetector, PoisonRequestDetector_Answer_ClearsTheMarkEverywhere)
{
    auto machines = std::array<PoisonRequestDetector, 3>();
    crash(machines[0], "a");
    crash(machines[0], "b");
    crash(machines[1], "c");
    tell(machines[0], machines[1], NOW);
    tell(machines[0], machines[2], NOW);
    EXPECT_TRUE(machines[1].isPoison(REQUEST, NOW));
    // A machine that did not know of the third crash sent it once more.
    machines[2].recordAnswer(REQUEST, NOW + 500ms);
    tell(machines[2], machines[0], NOW + 1s);
    tell(machines[2], machines[1], NOW + 1s);
    // What another machine still tells of before is over.
    auto old = RequestReport { REQUEST };
    for (auto process = 1U; process <= 3; ++process)
        old.crashes.push_back({ process, NOW });
    for (auto &machine : machines) {
        machine.hear(old, NOW + 2s);
        EXPECT_FALSE(machine.isPoison(REQUEST, NOW + 2s));
    }
    EXPECT_TRUE(machines[0].reports(NOW + 2s).empty());
    machines[2].expire(NOW + 1s + RETENTION);
    EXPECT_TRUE(machines[2].reports(NOW + 1s + RETENTION).empty());
}

TEST(PoisonRequestDetector, PoisonRequestDetector_News_AreToldAtOnce)
{
    auto news = 0;
    auto here = PoisonRequestDetector([&news] { ++news; });
    here.recordLoss(REQUEST, "a", 1, NOW);
    EXPECT_EQ(news, 0);
    here.noteProcessEnded("a", 1, NOW);
    EXPECT_EQ(news, 1);
    here.noteProcessEnded("a", 1, NOW);
    EXPECT_EQ(news, 1);
    here.recordAnswer(REQUEST, NOW + 1s);
    here.recordAnswer(REQUEST, NOW + 2s);
    EXPECT_EQ(news, 2);
}

//! Copies come every 300 ms at machines in turn, an end is known after 50 ms, and told 500 ms
//! later. With the store up, at most two servers crash after the third; without it, each machine
//! stops after three of its own.
TEST(PoisonRequestDetector, PoisonRequestDetector_CopiesAtAllMachines_KillFewServers)
{
    constexpr auto MACHINES = std::size_t(10);
    constexpr auto EVERY = base::Duration(300ms);
    constexpr auto SPREAD = base::Duration(500ms);
    for (const auto storeUp : { true, false }) {
        auto machines = std::array<PoisonRequestDetector, MACHINES>();
        auto killed = std::array<std::size_t, MACHINES>();
        auto heartbeats = std::vector<std::pair<base::TimePoint, RequestReport>>();
        auto kills = std::size_t(0);
        for (auto copy = std::size_t(0); copy < 200; ++copy) {
            const auto now = NOW + EVERY * static_cast<int>(copy);
            for (const auto &[at, report] : heartbeats) {
                for (auto &machine : machines) {
                    if (storeUp && at + SPREAD <= now)
                        machine.hear(report, now);
                }
            }
            auto &machine = machines[copy % MACHINES];
            if (machine.isPoison(REQUEST, now))
                continue;
            ++killed[copy % MACHINES];
            crash(machine, std::to_string(++kills), now);
            for (const auto &report : machine.reports(now))
                heartbeats.emplace_back(now + 50ms, report);
        }
        EXPECT_LE(kills, storeUp ? 5U : 3 * MACHINES);
        for (const auto count : killed)
            EXPECT_LE(count, 3U);
    }
}

TEST(PoisonRequestDetector, PoisonRequestDetector_Fingerprint_DependsOnWorkspacePathAndBody)
{
    const auto one = PoisonRequestDetector::fingerprintOf("w", "/p", "body");
    EXPECT_EQ(one, PoisonRequestDetector::fingerprintOf("w", "/p", "body"));
    EXPECT_NE(one, PoisonRequestDetector::fingerprintOf("v", "/p", "body"));
    EXPECT_NE(one, PoisonRequestDetector::fingerprintOf("w", "/q", "body"));
    EXPECT_NE(one, PoisonRequestDetector::fingerprintOf("w", "/p", "other"));
}
