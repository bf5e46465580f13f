#include "request/idempotency/idempotencyservice.h"

#include <deque>

#include <boost/asio.hpp>

#include "base/hash.h"
#include "base/text.h"
#include "process/clock/clock.h"
#include "request/execution/wireheaders.h"

namespace nutmegplank::request::idempotency {

namespace asio = boost::asio;

namespace {

auto gatewaysOf(const process::membership::MemberView &view) -> std::vector<ReplicaCandidate>
{
    auto gateways = std::vector<ReplicaCandidate>();
    for (const auto &id : view.liveIds(process::membership::Role::Gateway))
        gateways.push_back({ id, view.find(id)->zone });
    return gateways;
}

auto stateAfter(const execution::RequestOutcome &outcome) -> wire::RecordState
{
    if (outcome.ok)
        return wire::RECORD_DONE;
    return outcome.refusal.ran == wire::RAN_NOT_RUN ? wire::RECORD_ABSENT : wire::RECORD_UNKNOWN;
}

} // namespace

//! A claim that is waiting for answers of replicas.
struct IdempotencyService::PendingClaim
{
    explicit PendingClaim(const asio::any_io_executor &executor)
        : id(base::randomId())
        , timer(executor)
    { }

    std::string id;
    std::mutex mutex; //!< Guards timer and answers.
    asio::steady_timer timer;
    std::deque<std::pair<std::string, wire::IdempotencyAnswer>> answers;
};

IdempotencyService::IdempotencyService(connection::link::ILink &link,
                                       process::membership::IMembership &membership,
                                       IdempotencySettings settings)
    : m_link(link)
    , m_membership(membership)
    , m_self(membership.self().id)
    , m_settings(settings)
    , m_store(settings.limits)
    , m_absenceVerifier({ m_self, membership.self().zone }, process::clock::now(),
                        settings.limits.retention)
{ }

IdempotencyService::~IdempotencyService() = default;

auto IdempotencyService::claim(std::string workspace, std::string key, std::string fingerprint)
    -> asio::awaitable<Claim>
{
    auto claim = Claim();
    // During a network partition the minority must not grant claims that the majority grants too.
    if (!m_membership.hearsMajority(process::clock::now(), m_settings.majorityTimeout))
        co_return claim;
    auto &record = claim.record;
    record.set_workspace(workspace);
    record.set_key(key);
    record.set_fingerprint(fingerprint);
    record.set_owner(base::concat(m_self, "/", base::randomId()));
    auto pendingClaim = std::make_shared<PendingClaim>(co_await asio::this_coro::executor);
    auto gateways = gatewaysOf(*m_membership.view());
    auto round = ClaimRound(replicasOf(recordName(workspace, key), gateways), fingerprint);
    {
        const auto lock = std::lock_guard(m_mutex);
        m_pendingClaims[pendingClaim->id] = pendingClaim;
    }
    co_await collectAnswers(pendingClaim, round, record);
    {
        const auto lock = std::lock_guard(m_mutex);
        m_pendingClaims.erase(pendingClaim->id);
    }
    claim.result = round.conclude();
    claim.replicas = round.contactedReplicas();
    if (claim.result != ClaimResult::Run) {
        record.set_state(wire::RECORD_ABSENT);
        sendUpdate(claim.replicas, record);
    }
    if (claim.result == ClaimResult::Replay)
        claim.record = round.existingRecord();
    co_return claim;
}

auto IdempotencyService::collectAnswers(const std::shared_ptr<PendingClaim> &pendingClaim,
                                        ClaimRound &round, const wire::IdempotencyRecord &record)
    -> asio::awaitable<void>
{
    const auto deadline = process::clock::now() + m_settings.replicaTimeout * 2;
    while (!round.result().has_value()) {
        for (const auto &replica : round.replicasToContact())
            sendClaim(replica, pendingClaim, record);
        const auto remaining = deadline - process::clock::now();
        if (remaining <= base::Duration(0))
            co_return;
        const auto initiate = [&pendingClaim, remaining](auto handler) {
            const auto lock = std::lock_guard(pendingClaim->mutex);
            // An answer that arrived before had no pending wait to cancel, so do not wait for
            // another.
            pendingClaim->timer.expires_after(pendingClaim->answers.empty() ? remaining
                                                                            : base::Duration(0));
            pendingClaim->timer.async_wait(std::move(handler));
        };
        const auto token = asio::as_tuple(asio::use_awaitable);
        co_await asio::async_initiate<decltype(token), void(boost::system::error_code)>(initiate,
                                                                                        token);
        const auto lock = std::lock_guard(pendingClaim->mutex);
        for (const auto &[replica, answer] : pendingClaim->answers)
            round.onAnswer(replica, answer);
        pendingClaim->answers.clear();
    }
}

auto IdempotencyService::sendClaim(const std::string &replica,
                                   const std::shared_ptr<PendingClaim> &pendingClaim,
                                   const wire::IdempotencyRecord &record) -> void
{
    auto request = wire::IdempotencyRequest();
    request.set_call_id(pendingClaim->id);
    request.set_claim(true);
    *request.mutable_record() = record;
    if (replica == m_self) {
        queueAnswer(replica, applyRequest(request));
        return;
    }
    const auto view = m_membership.view();
    const auto *member = view->find(replica);
    if (member == nullptr)
        return;
    auto envelope = wire::Envelope();
    *envelope.mutable_idempotency_request() = std::move(request);
    // A failed send is treated like a missing answer.
    static_cast<void>(m_link.send(member->linkAddress, std::move(envelope)));
}

auto IdempotencyService::sendUpdate(const std::vector<std::string> &replicas,
                                    const wire::IdempotencyRecord &record) -> void
{
    const auto view = m_membership.view();
    for (const auto &replica : replicas) {
        auto request = wire::IdempotencyRequest();
        *request.mutable_record() = record;
        if (replica == m_self) {
            applyRequest(request);
            continue;
        }
        const auto *member = view->find(replica);
        if (member == nullptr)
            continue;
        auto envelope = wire::Envelope();
        *envelope.mutable_idempotency_request() = std::move(request);
        // After a lost update the record stays in the running state: repeats are refused, but none
        // runs.
        static_cast<void>(m_link.send(member->linkAddress, std::move(envelope)));
    }
}

auto IdempotencyService::finish(const Claim &claim, const execution::RequestOutcome &outcome)
    -> void
{
    auto record = claim.record;
    record.set_state(stateAfter(outcome));
    if (outcome.ok) {
        record.set_status(outcome.status);
        execution::toWireHeaders(outcome.headers, record.mutable_headers());
        record.set_body(outcome.body);
    }
    sendUpdate(claim.replicas, record);
}

auto IdempotencyService::applyRequest(const wire::IdempotencyRequest &request)
    -> wire::IdempotencyAnswer
{
    const auto now = process::clock::now();
    const auto name = recordName(request.record().workspace(), request.record().key());
    const auto lock = std::lock_guard(m_mutex);
    auto context = StoreContext();
    context.canConfirmAbsence = request.claim() && m_absenceVerifier.canConfirmAbsenceOf(name, now);
    context.isOwnerAlive = [this](const std::string &owner) { return isOwnerAlive(owner); };
    return m_store.apply(request, context, now);
}

auto IdempotencyService::isOwnerAlive(const std::string &owner) const -> bool
{
    const auto id = owner.substr(0, owner.rfind('/'));
    if (id == m_self)
        return true;
    const auto view = m_membership.view();
    const auto *member = view->find(id);
    return member != nullptr && member->state != process::membership::MemberState::Dead;
}

auto IdempotencyService::onMessage(const wire::Envelope &message) -> void
{
    if (message.has_idempotency_answer()) {
        queueAnswer(message.from(), message.idempotency_answer());
        return;
    }
    if (!message.has_idempotency_request())
        return;
    auto answer = applyRequest(message.idempotency_request());
    if (!message.idempotency_request().claim())
        return;
    auto envelope = wire::Envelope();
    *envelope.mutable_idempotency_answer() = std::move(answer);
    static_cast<void>(m_link.send(message.reply_link(), std::move(envelope)));
}

auto IdempotencyService::queueAnswer(const std::string &replica,
                                     const wire::IdempotencyAnswer &answer) -> void
{
    auto pendingClaim = std::shared_ptr<PendingClaim>();
    {
        const auto lock = std::lock_guard(m_mutex);
        const auto found = m_pendingClaims.find(answer.call_id());
        if (found == m_pendingClaims.end())
            return;
        pendingClaim = found->second;
    }
    const auto lock = std::lock_guard(pendingClaim->mutex);
    pendingClaim->answers.emplace_back(replica, answer);
    pendingClaim->timer.cancel();
}

auto IdempotencyService::markStartedWithoutServices() -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_absenceVerifier.markStartedWithoutServices();
}

auto IdempotencyService::onMembers(const process::membership::MemberView &view) -> void
{
    const auto now = process::clock::now();
    const auto lock = std::lock_guard(m_mutex);
    m_absenceVerifier.observe(view, now);
}

} // namespace nutmegplank::request::idempotency
