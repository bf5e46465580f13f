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
constexpr auto RETENTION = base::Duration(60s);

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

//! Simulated gateways; the tests choose which messages are lost.
class Deployment
{
public:
    explicit Deployment(std::size_t nodes)
    {
        for (auto node = std::size_t(0); node < nodes; ++node)
            m_nodes.push_back(Node(node, at(-2 * RETENTION)));
        observe();
    }

    //! Replaces \a node by a new process without records.
    auto restart(std::size_t node) -> void
    {
        m_nodes[node] = Node(node, now);
        observe();
    }

    //! Removes \a node permanently.
    auto remove(std::size_t node) -> void
    {
        m_nodes[node].live = false;
        observe();
    }

    auto lastReplica() const -> std::size_t
    {
        const auto id = replicasOf(recordName(WORKSPACE, KEY), candidates()).back().id;
        return static_cast<std::size_t>(id.back() - '0');
    }

    //! Makes one claim; replicas in \a unreachable receive no messages. A claimed request ends at
    //! once.
    auto claim(const std::set<std::size_t> &unreachable) -> ClaimResult
    {
        auto round = ClaimRound(replicasOf(recordName(WORKSPACE, KEY), candidates()), "body");
        auto record = wire::IdempotencyRecord();
        record.set_workspace(WORKSPACE);
        record.set_key(KEY);
        record.set_fingerprint("body");
        record.set_owner("owner-" + std::to_string(++m_claimCount));
        for (auto batch = round.replicasToContact(); !batch.empty();
             batch = round.replicasToContact()) {
            for (const auto &replica : batch)
                deliver(replica, unreachable, record, true, &round);
        }
        const auto result = round.conclude();
        if (result == ClaimResult::Run) {
            ++runCount;
            record.set_state(wire::RECORD_DONE);
        }
        for (const auto &replica : round.contactedReplicas())
            deliver(replica, unreachable, record, false, nullptr);
        return result;
    }

    base::TimePoint now = at(0s);
    int runCount = 0;

private:
    struct Node
    {
        Node(std::size_t number, base::TimePoint startedAt)
            : id(idOf(number))
            , zone(zoneOf(number))
            , store({ RETENTION })
            , absenceVerifier({ id, zone }, startedAt, RETENTION)
        { }
        std::string id;
        std::string zone;
        bool live = true;
        RecordStore store;
        AbsenceVerifier absenceVerifier;
    };

    auto candidates() const -> std::vector<ReplicaCandidate>
    {
        auto output = std::vector<ReplicaCandidate>();
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
            node.absenceVerifier.observe(view, now);
    }

    auto deliver(const std::string &replica, const std::set<std::size_t> &unreachable,
                 const wire::IdempotencyRecord &record, bool claim, ClaimRound *round) -> void
    {
        for (auto number = std::size_t(0); number < m_nodes.size(); ++number) {
            auto &node = m_nodes[number];
            if (node.id != replica || unreachable.contains(number))
                continue;
            auto request = wire::IdempotencyRequest();
            request.set_claim(claim);
            *request.mutable_record() = record;
            auto context = StoreContext();
            context.canConfirmAbsence =
                node.absenceVerifier.canConfirmAbsenceOf(recordName(WORKSPACE, KEY), now);
            context.isOwnerAlive = [](const std::string &) { return true; };
            const auto answer = node.store.apply(request, context, now);
            if (round != nullptr)
                round->onAnswer(replica, answer);
        }
    }

    std::vector<Node> m_nodes;
    int m_claimCount = 0;
};

} // namespace

TEST(Idempotency, Idempotency_Claim_RunsOnceAndThenReplays)
{
    auto deployment = Deployment(5);
    EXPECT_EQ(deployment.claim({}), ClaimResult::Run);
    EXPECT_EQ(deployment.claim({}), ClaimResult::Replay);
}

TEST(Idempotency, Idempotency_Claim_RestartedReplicasMakeTheResultUnknown)
{
    auto deployment = Deployment(3);
    deployment.now += 1s;
    const auto unreachableReplica = deployment.lastReplica();
    EXPECT_EQ(deployment.claim({ unreachableReplica }), ClaimResult::Run);
    deployment.restart((unreachableReplica + 1) % 3);
    deployment.restart((unreachableReplica + 2) % 3);
    deployment.now += 5s;
    // Both copies are lost, and the third replica never had one.
    EXPECT_EQ(deployment.claim({}), ClaimResult::Unknown);
    deployment.now += RETENTION;
    EXPECT_EQ(deployment.claim({}), ClaimResult::Run);
}

TEST(Idempotency, Idempotency_AbsenceVerifier_FirstDeploymentConfirmsAtOnce)
{
    auto absenceVerifier = AbsenceVerifier({ "gateway-0", "a" }, at(0s), RETENTION);
    EXPECT_FALSE(absenceVerifier.canConfirmAbsenceOf("name", at(1s)));
    EXPECT_TRUE(absenceVerifier.canConfirmAbsenceOf("name", at(RETENTION)));
    absenceVerifier.markStartedWithoutServices();
    EXPECT_TRUE(absenceVerifier.canConfirmAbsenceOf("name", at(1s)));
}

TEST(Idempotency, Idempotency_Store_UpdateOfAnotherOwnerIsIgnored)
{
    auto store = RecordStore({ RETENTION });
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
    auto store = RecordStore({ RETENTION });
    auto context = StoreContext { true, [](const std::string &) { return false; } };
    auto request = wire::IdempotencyRequest();
    request.set_claim(true);
    request.mutable_record()->set_owner("first");
    store.apply(request, context, at(0s));
    request.mutable_record()->set_owner("second");
    EXPECT_EQ(store.apply(request, context, at(1s)).record().state(), wire::RECORD_UNKNOWN);
}

//! Lost messages, restarted gateways and removed gateways within the retention time must not make a
//! request run twice.
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
            auto unreachable = std::set<std::size_t>();
            for (auto lost = *rc::gen::inRange(0, 3); lost > 0; --lost)
                unreachable.insert(*rc::gen::inRange<std::size_t>(0, nodes));
            RC_LOG() << "claim, unreachable:";
            for (const auto replica : unreachable)
                RC_LOG() << " " << replica;
            RC_LOG() << ": " << static_cast<int>(deployment.claim(unreachable)) << "\n";
        }
        RC_ASSERT(deployment.runCount <= 1);
    }
    RC_CLASSIFY(deployment.runCount == 1, "ran");
}

//! A replica that stops being one when other gateways leave could no longer confirm or hold
//! records, so each replica must stay one among any subset of the gateways that it belongs to.
RC_GTEST_PROP(Idempotency, Idempotency_Replicas_StayReplicasWhenOthersLeave,
              (const std::string &name))
{
    auto all = std::vector<ReplicaCandidate>();
    const auto nodes = *rc::gen::inRange<std::size_t>(1, 12);
    for (auto node = std::size_t(0); node < nodes; ++node)
        all.push_back({ idOf(node), zoneOf(*rc::gen::inRange<std::size_t>(0, 3)) });
    const auto replicas = replicasOf(name, all);
    auto remainingGateways = std::vector<ReplicaCandidate>();
    for (const auto &candidate : all) {
        if (*rc::gen::arbitrary<bool>())
            remainingGateways.push_back(candidate);
    }
    const auto replicasOfRemaining = replicasOf(name, remainingGateways);
    for (const auto &replica : replicas) {
        const auto isSame = [&replica](const auto &other) { return other.id == replica.id; };
        if (std::any_of(remainingGateways.begin(), remainingGateways.end(), isSame))
            RC_ASSERT(std::any_of(replicasOfRemaining.begin(), replicasOfRemaining.end(), isSame));
    }
}
