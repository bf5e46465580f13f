#include "process/dispatch/dispatcher.h"

#include <boost/asio.hpp>

#include "process/dispatch/internal/messages.h"
#include "process/logging/logging.h"

namespace nutmegplank::process::dispatch {

namespace {

namespace asio = boost::asio;

constexpr auto TICK = std::chrono::milliseconds(50);
constexpr auto REPORT_PERIOD = std::chrono::seconds(1);
constexpr auto ATTEMPT_MEMORY = std::chrono::minutes(5);
constexpr auto PLAN_SCOPE = "plan";
constexpr auto WEIGHTS_SCOPE = "weights/";
constexpr auto RETRY_AFTER_MOVE_MS = 100U;

//! Members that a process surely hears within the fence bound.
constexpr auto MEMBERS_HEARD = std::size_t(8);

//! Whether any other member was heard within \a bound; true when no other one is known.
auto hearsAnyone(const membership::MemberView &view, base::TimePoint now, base::Duration bound)
    -> bool
{
    const auto &members = view.members;
    return members.size() <= 1
        || std::any_of(members.begin(), members.end(), [&](const auto &member) {
               return member.lastHeard != base::TimePoint() && now - member.lastHeard <= bound;
           });
}

auto memberOf(const std::string &holder) -> std::string
{
    return holder.substr(0, holder.rfind('#'));
}

} // namespace

Dispatcher::Dispatcher(Strand strand, DispatcherOptions options,
                       DispatcherDependencies dependencies)
    : m_strand(std::move(strand))
    , m_options(options)
    , m_dependencies(std::move(dependencies))
    , m_index(ATTEMPT_MEMORY, m_dependencies.now())
    , m_ownership(options.handoverDelay)
    , m_answerBytes(std::make_shared<memory::ByteBudget>(options.policy.answerBytes))
{ }

auto Dispatcher::start() -> void
{
    auto self = shared_from_this();
    asio::co_spawn(
        m_strand, [self] { return self->loop(); }, asio::detached);
}

auto Dispatcher::loop() -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(m_strand);
    while (true) {
        follow();
        for (const auto &[shard, worker] : m_workers)
            asio::post(worker->executor(), [worker = worker] { worker->tick(); });
        const auto present = m_dependencies.now();
        if (present >= m_nextReport) {
            m_nextReport = present + REPORT_PERIOD;
            sendReports();
        }
        checkDrained();
        timer.expires_after(TICK);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

auto Dispatcher::mayServe(base::TimePoint now) const -> bool
{
    const auto &membership = m_dependencies.membership;
    const auto &log = m_dependencies.log;
    const auto view = membership.view();
    if (!hearsAnyone(*view, now, m_options.fenceBound))
        return false;
    // A process hears a few members a second, however many there are.
    const auto periods = 1 + view->members.size() / MEMBERS_HEARD;
    if (!membership.hearsMajority(now, m_options.fenceBound * periods))
        return false;
    if (now - log.lastConfirmed() <= m_options.confirmBound)
        return true;
    const auto version = log.state()->configuration->version;
    return membership.confirmsConfiguration(version, now, m_options.confirmBound);
}

auto Dispatcher::follow() -> void
{
    const auto state = m_dependencies.log.state();
    if (state == nullptr || state->configuration == nullptr)
        return;
    auto world = World();
    world.configuration = state->configuration;
    world.members = m_dependencies.membership.view();
    world.servers = m_dependencies.inventory.view();
    world.draining = m_draining;
    if (world.configuration != m_world.configuration || world.members != m_world.members
        || world.draining != m_world.draining)
        m_owned = ownedIn(world);
    const auto present = m_dependencies.now();
    const auto input = shards::OwnershipInput { m_owned, mayServe(present) };
    const auto changes = m_ownership.update(input, present);
    for (const auto &change : changes) {
        const auto name = base::nameOf(shards::SHARD_STATE_NAMES, change.after);
        logging::info("shard.state", { { "shard", change.shard }, { "state", std::string(name) } });
    }
    if (world.members != m_world.members)
        dropDeadGateways(*world.members);
    const auto same = changes.empty() && world.configuration == m_world.configuration
        && world.servers == m_world.servers;
    m_world = std::move(world);
    if (!same)
        updateWorkers();
}

auto Dispatcher::dropDeadGateways(const membership::MemberView &view) -> void
{
    auto dead = std::set<std::string>();
    for (const auto &member : view.members) {
        const auto isDead = member.state == membership::MemberState::Dead;
        if (isDead && member.role == membership::Role::Gateway)
            dead.insert(member.linkAddress);
    }
    for (const auto &address : dead) {
        if (m_deadGateways.contains(address))
            continue;
        for (const auto &[shard, worker] : m_workers)
            asio::post(worker->executor(),
                       [worker = worker, address] { worker->dropFrom(address); });
    }
    m_deadGateways = std::move(dead);
}

auto Dispatcher::ownedIn(const World &world) const -> std::vector<std::string>
{
    if (world.draining)
        return {};
    auto shards = std::vector<std::string>();
    for (const auto &[name, service] : world.configuration->services) {
        for (auto &shard : inventory::shardsOf(name, service.shards))
            shards.push_back(std::move(shard));
    }
    const auto live = world.members->liveIds(membership::Role::Dispatcher);
    return shards::ownedShards(m_dependencies.membership.self().id, shards, live);
}

auto Dispatcher::workerOf(const std::string &shard, const std::string &service) -> WorkerPtr
{
    auto &worker = m_workers[shard];
    if (worker != nullptr)
        return worker;
    auto &link = m_dependencies.link;
    auto send = [&link](const std::string &peer, wire::Envelope message) {
        return link.send(peer, std::move(message));
    };
    auto dependencies = ShardDependencies { m_dependencies.now, send, m_index,
                                            m_dependencies.metrics, m_answerBytes };
    worker = std::make_shared<ShardWorker>(asio::make_strand(m_dependencies.context), shard,
                                           service, m_options.policy, std::move(dependencies));
    return worker;
}

auto Dispatcher::updateWorkers() -> void
{
    auto updates = std::map<std::string, ShardUpdate>();
    for (const auto &[shard, worker] : m_workers)
        updates[shard] = {};
    for (const auto &shard : m_ownership.owned())
        updates[shard].state = m_ownership.state(shard);
    const auto &services = m_world.configuration->services;
    for (const auto &server : m_world.servers->servers) {
        const auto service = services.find(server.service);
        if (service == services.end())
            continue;
        const auto update = updates.find(inventory::shardOf(server, service->second.shards));
        if (update != updates.end())
            update->second.servers.push_back(server);
    }
    for (auto &[shard, update] : updates) {
        update.configuration = m_world.configuration;
        const auto worker = workerOf(shard, shard.substr(0, shard.rfind('/')));
        asio::post(worker->executor(), [worker, update = std::move(update)]() mutable {
            worker->update(std::move(update));
        });
    }
}

auto Dispatcher::handle(wire::Envelope message) -> void
{
    auto self = shared_from_this();
    asio::post(m_strand, [self, message = std::move(message)]() mutable {
        const auto replyLink = message.reply_link();
        if (message.has_submit())
            self->submit(std::move(*message.mutable_submit()), replyLink);
        else if (message.has_cancel())
            self->cancel(message.cancel().attempt_id(), replyLink);
        else if (message.has_server_notice())
            self->notice(message.server_notice());
    });
}

auto Dispatcher::submit(wire::Submit submit, std::string replyLink) -> void
{
    const auto present = m_dependencies.now();
    if (!m_index.begin(submit.attempt_id(), submit.shard(), present)) {
        logging::info("attempt.repeated", { { "attempt", submit.attempt_id() } });
        return;
    }
    const auto worker = m_workers.find(submit.shard());
    if (worker == m_workers.end()) {
        m_index.end(submit.attempt_id(), wire::RAN_NOT_RUN, present);
        const auto rejection =
            Rejection { wire::FAILURE_NOT_OWNER, "another dispatcher has this shard",
                        "dispatch.submit", RETRY_AFTER_MOVE_MS };
        (void)m_dependencies.link.send(replyLink, rejectedMessage(submit.attempt_id(), rejection));
        return;
    }
    auto target = worker->second;
    asio::post(target->executor(),
               [target, submit = std::move(submit), replyLink = std::move(replyLink)]() mutable {
                   target->submit(std::move(submit), std::move(replyLink));
               });
}

auto Dispatcher::cancel(const std::string &attemptId, const std::string &replyLink) -> void
{
    const auto target = m_index.cancel(attemptId, m_dependencies.now());
    const auto worker = m_workers.find(target.shard);
    if (target.shard.empty() || worker == m_workers.end()) {
        (void)m_dependencies.link.send(replyLink, cancelledMessage(attemptId, target.ran));
        return;
    }
    asio::post(worker->second->executor(),
               [worker = worker->second, attemptId] { worker->cancel(attemptId); });
}

auto Dispatcher::notice(const wire::ServerNotice &notice) -> void
{
    for (const auto &[shard, worker] : m_workers)
        asio::post(worker->executor(), [worker = worker, notice] { worker->notice(notice); });
}

auto Dispatcher::reportTargets(const std::string &service) const -> std::vector<std::string>
{
    const auto state = m_dependencies.log.state();
    const auto view = m_dependencies.membership.view();
    auto addresses = std::set<std::string>();
    for (const auto &scope : { std::string(PLAN_SCOPE), WEIGHTS_SCOPE + service }) {
        const auto lease = state->leases.find(scope);
        if (lease == state->leases.end())
            continue;
        const auto *member = view->find(memberOf(lease->second.holder));
        if (member != nullptr)
            addresses.insert(member->linkAddress);
    }
    return { addresses.begin(), addresses.end() };
}

auto Dispatcher::sendReports() -> void
{
    auto &link = m_dependencies.link;
    for (const auto &shard : m_ownership.owned()) {
        const auto worker = m_workers.find(shard);
        if (worker == m_workers.end())
            continue;
        auto targets = reportTargets(shard.substr(0, shard.rfind('/')));
        asio::post(worker->second->executor(),
                   [&link, worker = worker->second, targets = std::move(targets)] {
                       auto message = wire::Envelope();
                       *message.mutable_shard_report() = worker->report();
                       for (const auto &target : targets)
                           (void)link.send(target, message);
                   });
    }
}

auto Dispatcher::drain(std::function<void()> onDrained) -> void
{
    auto self = shared_from_this();
    asio::post(m_strand, [self, onDrained = std::move(onDrained)]() mutable {
        self->m_onDrained = std::move(onDrained);
        self->m_draining = true;
    });
}

auto Dispatcher::checkDrained() -> void
{
    if (!m_draining || !m_onDrained || !m_ownership.owned().empty() || m_index.liveCount() > 0)
        return;
    std::exchange(m_onDrained, nullptr)();
}

} // namespace nutmegplank::process::dispatch
