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

auto gatewaysOf(const process::membership::MemberView &view) -> std::vector<HomeCandidate>
{
    auto gateways = std::vector<HomeCandidate>();
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

//! One claim that waits for answers.
struct IdempotencyService::Call
{
    explicit Call(const asio::any_io_executor &executor)
        : id(base::randomId())
        , timer(executor)
    { }

    std::string id;
    std::mutex mutex; //!< Guards the timer as well.
    asio::steady_timer timer;
    std::deque<std::pair<std::string, wire::IdempotencyAnswer>> answers;
};

IdempotencyService::IdempotencyService(connection::link::ILink &link,
                                       process::membership::IMembership &membership,
                                       ServiceSettings settings)
    : m_link(link)
    , m_membership(membership)
    , m_self(membership.self().id)
    , m_settings(settings)
    , m_store(settings.limits)
    , m_standing({ m_self, membership.self().zone }, process::clock::now(), settings.limits.memory)
{ }

IdempotencyService::~IdempotencyService() = default;

auto IdempotencyService::claim(std::string workspace, std::string key, std::string fingerprint)
    -> asio::awaitable<Claim>
{
    auto claim = Claim();
    // A minority must not hand out keys that the others hand out as well.
    if (!m_membership.hearsMajority(process::clock::now(), m_settings.majorityBound))
        co_return claim;
    auto &record = claim.record;
    record.set_workspace(workspace);
    record.set_key(key);
    record.set_fingerprint(fingerprint);
    record.set_owner(base::concat(m_self, "/", base::randomId()));
    auto call = std::make_shared<Call>(co_await asio::this_coro::executor);
    auto gateways = gatewaysOf(*m_membership.view());
    auto round = ClaimRound(homesOf(recordName(workspace, key), gateways), fingerprint);
    {
        const auto lock = std::lock_guard(m_mutex);
        m_calls[call->id] = call;
    }
    co_await collect(call, round, record);
    {
        const auto lock = std::lock_guard(m_mutex);
        m_calls.erase(call->id);
    }
    claim.result = round.settle();
    claim.homes = round.asked();
    if (claim.result != ClaimResult::Run) {
        record.set_state(wire::RECORD_ABSENT);
        update(claim.homes, record);
    }
    if (claim.result == ClaimResult::Replay)
        claim.record = round.earlier();
    co_return claim;
}

auto IdempotencyService::collect(const std::shared_ptr<Call> &call, ClaimRound &round,
                                 const wire::IdempotencyRecord &record) -> asio::awaitable<void>
{
    const auto deadline = process::clock::now() + m_settings.answerTime * 2;
    while (!round.result().has_value()) {
        for (const auto &home : round.toAsk())
            ask(home, call, record);
        const auto left = deadline - process::clock::now();
        if (left <= base::Duration(0))
            co_return;
        const auto initiate = [&call, left](auto handler) {
            const auto lock = std::lock_guard(call->mutex);
            call->timer.expires_after(call->answers.empty() ? left : base::Duration(0));
            call->timer.async_wait(std::move(handler));
        };
        const auto token = asio::as_tuple(asio::use_awaitable);
        co_await asio::async_initiate<decltype(token), void(boost::system::error_code)>(initiate,
                                                                                        token);
        const auto lock = std::lock_guard(call->mutex);
        for (const auto &[home, answer] : call->answers)
            round.onAnswer(home, answer);
        call->answers.clear();
    }
}

auto IdempotencyService::ask(const std::string &home, const std::shared_ptr<Call> &call,
                             const wire::IdempotencyRecord &record) -> void
{
    auto request = wire::IdempotencyRequest();
    request.set_call_id(call->id);
    request.set_claim(true);
    *request.mutable_record() = record;
    if (home == m_self) {
        takeAnswer(home, serve(request));
        return;
    }
    const auto view = m_membership.view();
    const auto *member = view->find(home);
    if (member == nullptr)
        return;
    auto envelope = wire::Envelope();
    *envelope.mutable_idempotency_request() = std::move(request);
    // A claim that can't be sent shows as a missing answer.
    static_cast<void>(m_link.send(member->linkAddress, std::move(envelope)));
}

auto IdempotencyService::update(const std::vector<std::string> &homes,
                                const wire::IdempotencyRecord &record) -> void
{
    const auto view = m_membership.view();
    for (const auto &home : homes) {
        auto request = wire::IdempotencyRequest();
        *request.mutable_record() = record;
        if (home == m_self) {
            serve(request);
            continue;
        }
        const auto *member = view->find(home);
        if (member == nullptr)
            continue;
        auto envelope = wire::Envelope();
        *envelope.mutable_idempotency_request() = std::move(request);
        // A lost update leaves the record running, which refuses repeats but runs none.
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
    update(claim.homes, record);
}

auto IdempotencyService::serve(const wire::IdempotencyRequest &request) -> wire::IdempotencyAnswer
{
    const auto now = process::clock::now();
    const auto name = recordName(request.record().workspace(), request.record().key());
    const auto lock = std::lock_guard(m_mutex);
    auto context = StoreContext();
    context.vouches = request.claim() && m_standing.vouchesFor(name, now);
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
        takeAnswer(message.from(), message.idempotency_answer());
        return;
    }
    if (!message.has_idempotency_request())
        return;
    auto answer = serve(message.idempotency_request());
    if (!message.idempotency_request().claim())
        return;
    auto envelope = wire::Envelope();
    *envelope.mutable_idempotency_answer() = std::move(answer);
    static_cast<void>(m_link.send(message.reply_link(), std::move(envelope)));
}

auto IdempotencyService::takeAnswer(const std::string &home, const wire::IdempotencyAnswer &answer)
    -> void
{
    auto call = std::shared_ptr<Call>();
    {
        const auto lock = std::lock_guard(m_mutex);
        const auto found = m_calls.find(answer.call_id());
        if (found == m_calls.end())
            return;
        call = found->second;
    }
    const auto lock = std::lock_guard(call->mutex);
    call->answers.emplace_back(home, answer);
    call->timer.cancel();
}

auto IdempotencyService::markBornEmpty() -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_standing.markBornEmpty();
}

auto IdempotencyService::onMembers(const process::membership::MemberView &view) -> void
{
    const auto now = process::clock::now();
    const auto lock = std::lock_guard(m_mutex);
    m_standing.observe(view, now);
}

} // namespace nutmegplank::request::idempotency
