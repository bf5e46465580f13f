#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <numeric>
#include <queue>
#include <random>

#include <gtest/gtest.h>

#include "base/hash.h"
#include "base/text.h"
#include "request/forward/evenload.h"
#include "request/forward/recentlatency.h"

using namespace nutmegplank;
using namespace nutmegplank::request::forward;
using namespace std::chrono_literals;

namespace {

//! The order desk of the users' deployments.
constexpr auto SERVERS = 4;
constexpr auto SLOTS = std::size_t(6);
constexpr auto QUEUE = std::size_t(24);
constexpr auto WORK = base::Duration(25ms);
constexpr auto SLOW_FACTOR = 2.5;
constexpr auto SLOW_SHARE = 0.15;
constexpr auto NOISE_PERIOD = base::Duration(600ms);
constexpr auto WINDOW = base::Duration(200ms);
constexpr auto RUN_TIME = base::Duration(30s);
constexpr auto START = base::TimePoint(1h);
constexpr auto SMOOTHING = 5; //!< Of the latency, before.

enum class Policy {
    Before, //!< pickServer() with a preferred server by hash and latencies that never age.
    Even,
};

struct Played
{
    double highestOverMean = 0; //!< Mean over windows, of requests that servers have.
    double meanWaitMs = 0;      //!< In the queues of servers.
    double longWaits = 0;       //!< Share of requests that waited for more than their work.
    double refused = 0;         //!< Refusals of servers for each request.
    double away = 0;            //!< Share of requests not at home: these need more connections.
};

auto names(const std::string &prefix, int count) -> std::vector<std::string>
{
    auto result = std::vector<std::string>();
    for (auto index = 0; index < count; ++index)
        result.push_back(base::concat(prefix, index));
    return result;
}

//! Many machines, each of which knows only the answers to its own requests, before few servers.
class Play
{
public:
    Play(Policy policy, int machineCount, double perSecond, int cutOffMachines, std::uint64_t seed)
        : m_policy(policy)
        , m_perSecond(perSecond)
        , m_serverIds(names("server", SERVERS))
        , m_machineNames(names("machine", machineCount))
        , m_machines(static_cast<std::size_t>(machineCount))
        , m_servers(SERVERS)
        , m_random(seed)
    {
        for (auto index = 0; index < machineCount; ++index) {
            auto &machine = m_machines[static_cast<std::size_t>(index)];
            const auto &name = m_machineNames[static_cast<std::size_t>(index)];
            // One that is cut off knows itself alone.
            const auto known =
                index < cutOffMachines ? std::vector<std::string> { name } : m_machineNames;
            machine.home = policy == Policy::Even ? homeServer(name, known, m_serverIds)
                                                  : base::rendezvousOwner(name, m_serverIds);
        }
    }

    auto run() -> Played
    {
        scheduleArrival();
        schedule(WINDOW, [this] { closeWindow(); });
        for (auto server = std::size_t(0); server < m_servers.size(); ++server)
            changePace(server);
        while (!m_events.empty() && m_events.top().at < RUN_TIME) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
        auto result = Played();
        result.highestOverMean = m_ratioSum / m_windows;
        result.meanWaitMs = m_waitMs / m_started;
        result.longWaits = m_longWaits / m_started;
        result.refused = m_refusals / m_arrived;
        result.away = m_away / m_started;
        return result;
    }

private:
    struct Event
    {
        base::Duration at;
        std::uint64_t order;
        std::function<void()> run;
        auto operator<(const Event &other) const -> bool
        {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };
    struct Machine
    {
        std::string home;
        std::map<std::string, std::uint32_t> outstanding;
        std::map<std::string, base::Duration> latency;
        RecentLatency recent;
    };
    struct Waiting
    {
        std::size_t machine;
        base::Duration since;
    };
    struct Server
    {
        std::deque<Waiting> queue;
        std::size_t running = 0;
        double pace = 1;
        double loadTime = 0; //!< Requests times microseconds in this window.
        base::Duration countedTo { 0 };
    };

    auto schedule(base::Duration in, std::function<void()> run) -> void
    {
        m_events.push({ m_now + in, ++m_order, std::move(run) });
    }
    auto uniform() -> double { return std::uniform_real_distribution<double>()(m_random); }
    auto exponential(double mean) -> base::Duration
    {
        return base::Duration(static_cast<std::int64_t>(-mean * std::log(1 - uniform())));
    }
    auto changePace(std::size_t server) -> void
    {
        m_servers[server].pace = uniform() < SLOW_SHARE ? SLOW_FACTOR : 1;
        schedule(NOISE_PERIOD, [this, server] { changePace(server); });
    }
    auto scheduleArrival() -> void
    {
        schedule(exponential(1e6 / m_perSecond), [this] {
            m_arrived += 1;
            send(m_random() % m_machines.size(), {});
            scheduleArrival();
        });
    }
    auto choose(Machine &machine, const std::vector<std::size_t> &refusedBy)
        -> std::optional<std::size_t>
    {
        auto candidates = std::vector<ServerCandidate>();
        for (auto index = std::size_t(0); index < m_serverIds.size(); ++index) {
            const auto &id = m_serverIds[index];
            auto candidate = ServerCandidate { id };
            candidate.outstanding = machine.outstanding[id];
            candidate.limit = 5;
            candidate.startsLeft = 100;
            candidate.latency = m_policy == Policy::Even
                ? machine.recent.expected(id, START + m_now)
                : machine.latency[id];
            candidate.sameZone = true;
            candidate.preferred = id == machine.home;
            candidate.tried = std::ranges::find(refusedBy, index) != refusedBy.end();
            candidates.push_back(candidate);
        }
        return m_policy == Policy::Even ? pickServerEvenly(candidates, m_random())
                                        : pickServer(candidates);
    }
    auto send(std::size_t machine, std::vector<std::size_t> refusedBy) -> void
    {
        const auto chosen = choose(m_machines[machine], refusedBy);
        if (!chosen.has_value())
            return;
        auto &server = m_servers[*chosen];
        if (server.running >= SLOTS && server.queue.size() >= QUEUE) {
            m_refusals += 1;
            refusedBy.push_back(*chosen);
            send(machine, std::move(refusedBy));
            return;
        }
        count(server);
        m_away += m_serverIds[*chosen] != m_machines[machine].home ? 1 : 0;
        ++m_machines[machine].outstanding[m_serverIds[*chosen]];
        server.queue.push_back({ machine, m_now });
        startNext(*chosen);
    }
    auto startNext(std::size_t index) -> void
    {
        auto &server = m_servers[index];
        if (server.running >= SLOTS || server.queue.empty())
            return;
        const auto next = server.queue.front();
        server.queue.pop_front();
        ++server.running;
        m_started += 1;
        m_waitMs += static_cast<double>((m_now - next.since).count()) / 1000;
        m_longWaits += m_now - next.since > WORK ? 1 : 0;
        const auto work = exponential(static_cast<double>(WORK.count()) * server.pace);
        schedule(work, [this, index, next] { end(index, next); });
    }
    auto end(std::size_t index, const Waiting &request) -> void
    {
        auto &server = m_servers[index];
        count(server);
        --server.running;
        auto &machine = m_machines[request.machine];
        const auto &id = m_serverIds[index];
        const auto latency = m_now - request.since;
        --machine.outstanding[id];
        machine.recent.note(id, latency, START + m_now);
        auto &smoothed = machine.latency[id];
        smoothed = smoothed.count() == 0 ? latency : smoothed + (latency - smoothed) / SMOOTHING;
        startNext(index);
    }
    auto count(Server &server) -> void
    {
        const auto held = static_cast<double>(server.running + server.queue.size());
        server.loadTime += held * static_cast<double>((m_now - server.countedTo).count());
        server.countedTo = m_now;
    }
    auto closeWindow() -> void
    {
        auto highest = 0.0;
        auto sum = 0.0;
        for (auto &server : m_servers) {
            count(server);
            highest = std::max(highest, server.loadTime);
            sum += std::exchange(server.loadTime, 0);
        }
        if (sum > 0) {
            m_ratioSum += highest * SERVERS / sum;
            m_windows += 1;
        }
        schedule(WINDOW, [this] { closeWindow(); });
    }

    Policy m_policy;
    double m_perSecond;
    std::vector<std::string> m_serverIds;
    std::vector<std::string> m_machineNames;
    std::vector<Machine> m_machines;
    std::vector<Server> m_servers;
    std::priority_queue<Event> m_events;
    std::uint64_t m_order = 0;
    std::mt19937_64 m_random;
    base::Duration m_now { 0 };
    double m_ratioSum = 0;
    double m_windows = 0;
    double m_waitMs = 0;
    double m_longWaits = 0;
    double m_started = 0;
    double m_refusals = 0;
    double m_arrived = 0;
    double m_away = 0;
};

//! The mean of some plays.
auto play(Policy policy, int machineCount, double perSecond, int cutOffMachines = 0) -> Played
{
    constexpr auto PLAYS = 6;
    auto mean = Played();
    for (auto seed = 1; seed <= PLAYS; ++seed) {
        const auto one =
            Play(policy, machineCount, perSecond, cutOffMachines, static_cast<std::uint64_t>(seed))
                .run();
        mean.highestOverMean += one.highestOverMean / PLAYS;
        mean.meanWaitMs += one.meanWaitMs / PLAYS;
        mean.longWaits += one.longWaits / PLAYS;
        mean.refused += one.refused / PLAYS;
        mean.away += one.away / PLAYS;
    }
    return mean;
}

auto candidate(const std::string &id) -> ServerCandidate
{
    auto result = ServerCandidate { id };
    result.limit = 8;
    result.startsLeft = 100;
    result.latency = WORK;
    return result;
}

auto print(const char *name, int machines, double perSecond, const Played &played) -> void
{
    std::cout << name << " machines " << machines << " per second " << perSecond << " highest/mean "
              << played.highestOverMean << " wait ms " << played.meanWaitMs << " long waits "
              << played.longWaits << " refused " << played.refused << " away " << played.away
              << "\n";
}

} // namespace

TEST(EvenLoad, EvenLoad_FewSlotsBeforeManyMachines_IsCalledFor)
{
    EXPECT_TRUE(needsEvenLoad(24, 72));
    EXPECT_TRUE(needsEvenLoad(18, 90));
    EXPECT_FALSE(needsEvenLoad(90, 60));
    EXPECT_FALSE(needsEvenLoad(18, 3));
}

TEST(EvenLoad, EvenLoad_AnyMachines_ServersAreHomeOfEquallyMany)
{
    const auto servers = names("server", SERVERS);
    for (const auto count : { 10, 72, 90, 300 }) {
        const auto machines = names("machine", count);
        auto homes = std::map<std::string, int>();
        for (const auto &machine : machines)
            ++homes[homeServer(machine, machines, servers)];
        for (const auto &[server, number] : homes)
            EXPECT_LE(number, (count + SERVERS - 1) / SERVERS);
    }
}

TEST(EvenLoad, EvenLoad_MachineIsLost_FewOthersChangeTheirHome)
{
    const auto servers = names("server", SERVERS);
    const auto machines = names("machine", 90);
    auto changed = 0;
    const auto rest = std::vector(machines.begin() + 1, machines.end());
    for (const auto &machine : rest)
        changed += homeServer(machine, machines, servers) != homeServer(machine, rest, servers);
    EXPECT_LT(changed, 90 / 4);
}

TEST(EvenLoad, EvenLoad_HomeIsSlowOrFull_AnyOtherMayBeDrawn)
{
    auto candidates = std::vector { candidate("a"), candidate("b"), candidate("c") };
    candidates[0].preferred = true;
    for (auto draw = 0U; draw < 6; ++draw)
        EXPECT_EQ(pickServerEvenly(candidates, draw), 0U);
    candidates[0].latency = 100ms;
    EXPECT_EQ(pickServerEvenly(candidates, 0), 1U);
    EXPECT_EQ(pickServerEvenly(candidates, 1), 2U);
    candidates[0].tried = true;
    candidates[1].startsLeft = 0;
    for (auto draw = 0U; draw < 6; ++draw)
        EXPECT_EQ(pickServerEvenly(candidates, draw), 2U);
    candidates[2].outstanding = candidates[2].limit;
    EXPECT_FALSE(pickServerEvenly(candidates, 0).has_value());
}

TEST(RecentLatency, RecentLatency_SlowServerNotAskedForSeconds_CountsAsUsual)
{
    auto latency = RecentLatency();
    EXPECT_EQ(latency.expected("a", START), base::Duration(0));
    for (auto index = 0; index < 50; ++index)
        latency.note("a", WORK, START);
    latency.note("b", 200ms, START);
    EXPECT_GT(latency.expected("b", START + 100ms), 3 * WORK);
    EXPECT_LT(latency.expected("b", START + 5s), 50ms);
}

//! Rates from that of the users' deployments to most of what the servers can do.
TEST(EvenLoad, EvenLoad_MachinesWithOldKnowledge_LoadIsMoreEvenThanBefore)
{
    for (const auto machines : { 10, 90, 300 }) {
        for (const auto perSecond : { 12.0, 200.0, 550.0 }) {
            const auto before = play(Policy::Before, machines, perSecond);
            const auto after = play(Policy::Even, machines, perSecond);
            print("before", machines, perSecond, before);
            print("after", machines, perSecond, after);
            if (!needsEvenLoad(SERVERS * SLOTS, static_cast<std::size_t>(machines)))
                continue;
            EXPECT_LE(after.highestOverMean, before.highestOverMean * 1.03);
            EXPECT_LE(after.meanWaitMs, before.meanWaitMs + 1);
            EXPECT_LE(after.refused, before.refused + 0.001);
        }
    }
}

//! A slow server is left by its machines for different ones, and they come back.
TEST(EvenLoad, EvenLoad_NinetyMachinesAtHighLoad_WaitLessAndUseFewerServersEach)
{
    const auto before = play(Policy::Before, 90, 550);
    const auto after = play(Policy::Even, 90, 550);
    EXPECT_LT(after.highestOverMean - 1, (before.highestOverMean - 1) * 0.8);
    EXPECT_LT(after.meanWaitMs, before.meanWaitMs * 0.8);
    EXPECT_LT(after.refused, before.refused * 0.5);
    EXPECT_LT(after.away, before.away * 0.6);
}

TEST(EvenLoad, EvenLoad_MachinesCutOff_LoadStaysEven)
{
    const auto before = play(Policy::Before, 90, 550);
    const auto after = play(Policy::Even, 90, 550, 30);
    print("cut off", 90, 550, after);
    EXPECT_LE(after.highestOverMean, before.highestOverMean);
    EXPECT_LE(after.meanWaitMs, before.meanWaitMs);
}
