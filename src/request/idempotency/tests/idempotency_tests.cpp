#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "request/idempotency/claimround.h"
#include "request/idempotency/recordstore.h"

using namespace nutmegplank;
using namespace nutmegplank::request::idempotency;
using namespace std::chrono_literals;

namespace {

constexpr auto KEY = "key";
constexpr auto WORKSPACE = "workspace";
constexpr auto MEMORY = base::Duration(60s);

auto at(base::Duration offset) -> base::TimePoint
{
    return base::TimePoint(base::Duration(1h) + offset);
}

auto zoneOf(std::size_t node) -> std::string
{
    return "zone-" + std::to_string(node % 3);
}

auto idOf(std::size_t node) -> std::string
{
    return "gateway-" + std::to_string(node);
}

//! A deployment of gateways whose messages arrive or are lost as the test says.
class Deployment
{
public:
    explicit Deployment(std::size_t nodes)
    {
        for (auto node = std::size_t(0); node < nodes; ++node)
            m_nodes.push_back(Node(node, at(-2 * MEMORY)));
        observe();
    }

    //! All at \a node is lost, and a new process stands in its place.
    auto restart(std::size_t node) -> void
    {
        m_nodes[node] = Node(node, now);
        observe();
    }

    //! The gateway goes away for good.
    auto remove(std::size_t node) -> void
    {
        m_nodes[node].live = false;
        observe();
    }

    auto lastHome() const -> std::size_t
    {
        const auto id = homesOf(recordName(WORKSPACE, KEY), candidates()).back().id;
        return static_cast<std::size_t>(id.back() - '0');
    }

    //! One claim; the homes in \a silent get no message.
    auto claim(const std::set<std::size_t> &silent) -> ClaimResult
    {
        auto round = ClaimRound(homesOf(recordName(WORKSPACE, KEY), candidates()), "body");
        auto record = wire::IdempotencyRecord();
        record.set_workspace(WORKSPACE);
        record.set_key(KEY);
        record.set_fingerprint("body");
        record.set_owner("owner-" + std::to_string(++m_claims));
        for (auto asked = round.toAsk(); !asked.empty(); asked = round.toAsk()) {
            for (const auto &home : asked)
                deliver(home, silent, record, true, &round);
        }
        const auto result = round.settle();
        if (result == ClaimResult::Run) {
            ++runs;
            record.set_state(wire::RECORD_DONE);
        }
        for (const auto &home : round.asked())
            deliver(home, silent, record, false, nullptr);
        return result;
    }

    base::TimePoint now = at(0s);
    int runs = 0;

private:
    struct Node
    {
        Node(std::size_t number, base::TimePoint startedAt)
            : id(idOf(number))
            , zone(zoneOf(number))
            , store({ MEMORY })
            , standing({ id, zone }, startedAt, MEMORY)
        { }
        std::string id;
        std::string zone;
        bool live = true;
        RecordStore store;
        Standing standing;
    };

    auto candidates() const -> std::vector<HomeCandidate>
    {
        auto output = std::vector<HomeCandidate>();
        for (const auto &node : m_nodes) {
            if (node.live)
                output.push_back({ node.id, node.zone });
        }
        return output;
    }

    auto observe() -> void
    {
        auto view = process::membership::MemberView();
        for (const auto &node : m_nodes) {
            auto member = process::membership::Member();
            member.id = node.id;
            member.zone = node.zone;
            member.state = node.live ? process::membership::MemberState::Alive
                                     : process::membership::MemberState::Dead;
            view.members.push_back(member);
        }
        for (auto &node : m_nodes)
            node.standing.observe(view, now);
    }

    auto deliver(const std::string &home, const std::set<std::size_t> &silent,
                 const wire::IdempotencyRecord &record, bool claim, ClaimRound *round) -> void
    {
        for (auto number = std::size_t(0); number < m_nodes.size(); ++number) {
            auto &node = m_nodes[number];
            if (node.id != home || silent.contains(number))
                continue;
            auto request = wire::IdempotencyRequest();
            request.set_claim(claim);
            *request.mutable_record() = record;
            auto context = StoreContext();
            context.vouches = node.standing.vouchesFor(recordName(WORKSPACE, KEY), now);
            context.isOwnerAlive = [](const std::string &) { return true; };
            const auto answer = node.store.apply(request, context, now);
            if (round != nullptr)
                round->onAnswer(home, answer);
        }
    }

    std::vector<Node> m_nodes;
    int m_claims = 0;
};

} // namespace

TEST(Idempotency, Idempotency_Claim_RunsOnceAndThenReplays)
{
    auto deployment = Deployment(5);
    EXPECT_EQ(deployment.claim({}), ClaimResult::Run);
    EXPECT_EQ(deployment.claim({}), ClaimResult::Replay);
}

TEST(Idempotency, Idempotency_Claim_YoungHomesAnswerUnknown)
{
    auto deployment = Deployment(3);
    deployment.now += 1s;
    const auto last = deployment.lastHome();
    EXPECT_EQ(deployment.claim({ last }), ClaimResult::Run);
    deployment.restart((last + 1) % 3);
    deployment.restart((last + 2) % 3);
    deployment.now += 5s;
    // Two copies are gone and the third home never had one.
    EXPECT_EQ(deployment.claim({}), ClaimResult::Unknown);
    deployment.now += MEMORY;
    EXPECT_EQ(deployment.claim({}), ClaimResult::Run);
}

TEST(Idempotency, Idempotency_Standing_FirstStartOfAllIsKnownEmpty)
{
    auto standing = Standing({ "gateway-0", "a" }, at(0s), MEMORY);
    EXPECT_FALSE(standing.vouchesFor("name", at(1s)));
    EXPECT_TRUE(standing.vouchesFor("name", at(MEMORY)));
    standing.markBornEmpty();
    EXPECT_TRUE(standing.vouchesFor("name", at(1s)));
}

TEST(Idempotency, Idempotency_Store_UpdateOfAnotherOwnerIsIgnored)
{
    auto store = RecordStore({ MEMORY });
    const auto context = StoreContext { true, [](const std::string &) { return true; } };
    auto request = wire::IdempotencyRequest();
    request.set_claim(true);
    request.mutable_record()->set_owner("first");
    EXPECT_TRUE(store.apply(request, context, at(0s)).created());
    request.set_claim(false);
    request.mutable_record()->set_owner("second");
    request.mutable_record()->set_state(wire::RECORD_ABSENT);
    store.apply(request, context, at(0s));
    request.set_claim(true);
    EXPECT_EQ(store.apply(request, context, at(0s)).record().owner(), "first");
}

TEST(Idempotency, Idempotency_Store_DeadOwnerMakesTheRecordUnknown)
{
    auto store = RecordStore({ MEMORY });
    auto context = StoreContext { true, [](const std::string &) { return false; } };
    auto request = wire::IdempotencyRequest();
    request.set_claim(true);
    request.mutable_record()->set_owner("first");
    store.apply(request, context, at(0s));
    request.mutable_record()->set_owner("second");
    EXPECT_EQ(store.apply(request, context, at(1s)).record().state(), wire::RECORD_UNKNOWN);
}

//! Whatever is lost, restarted or gone within the memory: the request runs at most once.
RC_GTEST_PROP(Idempotency, Idempotency_Claims_RunAtMostOnce, ())
{
    const auto nodes = *rc::gen::inRange<std::size_t>(2, 8);
    auto deployment = Deployment(nodes);
    const auto steps = *rc::gen::inRange(1, 40);
    for (auto step = 0; step < steps; ++step) {
        const auto node = *rc::gen::inRange<std::size_t>(0, nodes);
        deployment.now += *rc::gen::inRange(0, 15) * 100ms;
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            RC_LOG() << "restart " << node << "\n";
            deployment.restart(node);
            break;
        case 1:
            RC_LOG() << "remove " << node << "\n";
            deployment.remove(node);
            break;
        default:
            auto silent = std::set<std::size_t>();
            for (auto lost = *rc::gen::inRange(0, 3); lost > 0; --lost)
                silent.insert(*rc::gen::inRange<std::size_t>(0, nodes));
            RC_LOG() << "claim, silent:";
            for (const auto home : silent)
                RC_LOG() << " " << home;
            RC_LOG() << ": " << static_cast<int>(deployment.claim(silent)) << "\n";
        }
        RC_ASSERT(deployment.runs <= 1);
    }
    RC_CLASSIFY(deployment.runs == 1, "ran");
}

//! Who is a home among many is a home among any part of them that it belongs to.
RC_GTEST_PROP(Idempotency, Idempotency_Homes_StayHomesWhenOthersLeave, (const std::string &name))
{
    auto all = std::vector<HomeCandidate>();
    const auto nodes = *rc::gen::inRange<std::size_t>(1, 12);
    for (auto node = std::size_t(0); node < nodes; ++node)
        all.push_back({ idOf(node), zoneOf(*rc::gen::inRange<std::size_t>(0, 3)) });
    const auto homes = homesOf(name, all);
    auto part = std::vector<HomeCandidate>();
    for (const auto &candidate : all) {
        if (*rc::gen::arbitrary<bool>())
            part.push_back(candidate);
    }
    const auto partHomes = homesOf(name, part);
    for (const auto &home : homes) {
        const auto isIt = [&home](const auto &other) { return other.id == home.id; };
        if (std::any_of(part.begin(), part.end(), isIt))
            RC_ASSERT(std::any_of(partHomes.begin(), partHomes.end(), isIt));
    }
}
