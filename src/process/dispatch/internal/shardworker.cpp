#include "process/dispatch/shardworker.h"

#include "process/dispatch/internal/messages.h"
#include "process/dispatch/internal/serverentry.h"
#include "process/dispatch/internal/shardmetrics.h"

namespace nutmegplank::process::dispatch {

namespace {

constexpr auto KEPT_PREFIXES = std::size_t(512); //!< A backend server.
constexpr auto RETRY_AFTER_FULL_MS = 250U;
constexpr auto RETRY_AFTER_MOVE_MS = 100U;
//! How long requests wait for a server to come back before they are sent elsewhere.
constexpr auto PATIENCE_WITHOUT_SERVERS = std::chrono::seconds(3);
constexpr auto WHOLE_SHARE = 100U; //!< Percent.

} // namespace

ShardWorker::ShardWorker(Strand strand, std::string shard, std::string service,
                         DispatchPolicy policy, ShardDependencies dependencies)
    : m_strand(std::move(strand))
    , m_shard(std::move(shard))
    , m_service(std::move(service))
    , m_policy(policy)
    , m_dependencies(std::move(dependencies))
    , m_metrics(std::make_unique<ShardMetrics>(m_dependencies.metrics, m_shard))
    , m_queue(request::queue::makeQueue(policy.queue, policy.queueBound))
    , m_earlyRefusal(policy.earlyRefusal)
    , m_prefixes(KEPT_PREFIXES)
{
    auto chance = [this](const std::string &server, const std::string &prefixKey) {
        return m_prefixes.probability(server, prefixKey, now());
    };
    m_placement = request::placement::makePlacement(policy.placement, std::move(chance));
}

ShardWorker::~ShardWorker() = default;

auto ShardWorker::service() const -> const version::configuration::Service *
{
    if (m_configuration == nullptr)
        return nullptr;
    const auto found = m_configuration->services.find(m_service);
    return found == m_configuration->services.end() ? nullptr : &found->second;
}

auto ShardWorker::isEngine() const -> bool
{
    const auto *known = service();
    return known != nullptr && known->kind == version::configuration::ServiceKind::Engine;
}

auto ShardWorker::itemOf(const wire::Submit &submit) const -> request::queue::QueueItem
{
    auto item = request::queue::QueueItem();
    item.id = submit.attempt_id();
    item.workspace = submit.workspace();
    item.priority = submit.priority();
    item.expectedTokens = submit.expected_tokens();
    item.enqueued = now();
    const auto *known = service();
    const auto usual = known == nullptr ? base::Duration(0) : known->requestTimeout;
    const auto named = std::chrono::milliseconds(submit.deadline_ms());
    item.deadline = item.enqueued + (submit.deadline_ms() > 0 ? base::Duration(named) : usual);
    if (m_configuration == nullptr)
        return item;
    const auto workspace = m_configuration->workspaces.find(submit.workspace());
    if (workspace != m_configuration->workspaces.end())
        item.weight = workspace->second.weight;
    return item;
}

auto ShardWorker::checkSubmit(const wire::Submit &submit,
                              const request::queue::QueueItem &item) const
    -> std::optional<Rejection>
{
    if (m_state == shards::ShardState::NotOwner)
        return Rejection { wire::FAILURE_NOT_OWNER, "another dispatcher has this shard",
                           "dispatch.submit", RETRY_AFTER_MOVE_MS };
    if (m_state == shards::ShardState::Fenced)
        return Rejection { wire::FAILURE_FENCED, "this dispatcher may be cut off",
                           "dispatch.submit", RETRY_AFTER_MOVE_MS };
    if (service() == nullptr || !hasServerFor(submit))
        return Rejection { wire::FAILURE_NO_SERVER, "the shard has no backend server",
                           "dispatch.submit", RETRY_AFTER_FULL_MS };
    const auto wait = m_earlyRefusal.refusalRetryDelay(item.deadline, item.enqueued);
    if (wait.has_value())
        return Rejection { wire::FAILURE_QUEUE_FULL, "the deadline would pass in the queue",
                           "dispatch.submit",
                           static_cast<std::uint32_t>(base::toMilliseconds(*wait)) };
    return std::nullopt;
}

auto ShardWorker::answer(const std::string &replyLink, wire::Envelope message) -> absl::Status
{
    return m_dependencies.send(replyLink, std::move(message));
}

auto ShardWorker::reject(const wire::Submit &submit, const std::string &replyLink,
                         const Rejection &rejection) -> void
{
    m_metrics->countOutcome(failureName(rejection.code));
    m_dependencies.index.end(submit.attempt_id(), wire::RAN_NOT_RUN, now());
    auto message = rejectedMessage(submit.attempt_id(), rejection);
    *message.mutable_failed()->mutable_load() = loadHint();
    (void)answer(replyLink, std::move(message));
}

auto ShardWorker::submit(wire::Submit submit, std::string replyLink) -> void
{
    auto item = itemOf(submit);
    const auto refusal = checkSubmit(submit, item);
    if (refusal.has_value())
        return reject(submit, replyLink, *refusal);
    if (!m_queue->push(item))
        return reject(submit, replyLink,
                      { wire::FAILURE_QUEUE_FULL, "the shard's queue is full", "dispatch.submit",
                        RETRY_AFTER_FULL_MS });
    (void)answer(replyLink, acceptedMessage(submit.attempt_id()));
    const auto id = item.id;
    if (submit.isolate())
        m_isolated.insert(id);
    m_pending.emplace(id, Pending { std::move(submit), std::move(replyLink), std::move(item) });
    pump();
}

auto ShardWorker::cancel(const std::string &attemptId) -> void
{
    const auto running = m_running.find(attemptId);
    if (running != m_running.end())
        return cutRunning(running->second, wire::FAILURE_CANCELLED, "cancelled");
    const auto pending = m_pending.find(attemptId);
    if (pending == m_pending.end())
        return;
    m_queue->remove(attemptId);
    const auto held = std::move(pending->second);
    m_pending.erase(pending);
    reject(held.submit, held.replyLink,
           { wire::FAILURE_CANCELLED, "cancelled", "dispatch.cancel", 0 });
}

auto ShardWorker::dropFrom(const std::string &replyLink) -> void
{
    auto dropped = std::vector<std::string>();
    for (const auto &[id, pending] : m_pending) {
        if (pending.replyLink == replyLink)
            dropped.push_back(id);
    }
    for (const auto &[id, running] : m_running) {
        const auto &pending = running->pending;
        if (pending.replyLink == replyLink && pending.submit.idempotent())
            dropped.push_back(id);
    }
    for (const auto &id : dropped)
        cancel(id);
}

auto ShardWorker::rejectQueued(const request::queue::QueueItem &item, const Rejection &rejection)
    -> void
{
    const auto pending = m_pending.find(item.id);
    if (pending == m_pending.end())
        return;
    const auto held = std::move(pending->second);
    m_pending.erase(pending);
    reject(held.submit, held.replyLink, rejection);
}

auto ShardWorker::hasServerFor(const wire::Submit &submit) const -> bool
{
    const auto &avoided = submit.avoid_servers();
    return std::any_of(m_servers.begin(), m_servers.end(), [&](const auto &entry) {
        return entry.second->inService()
            && std::find(avoided.begin(), avoided.end(), entry.first) == avoided.end();
    });
}

auto ShardWorker::rejectWithoutServers() -> void
{
    const auto usable = std::any_of(m_servers.begin(), m_servers.end(), [](const auto &entry) {
        return entry.second->inService() && entry.second->alive();
    });
    const auto present = now();
    if (usable || m_state != shards::ShardState::Serving)
        m_lastAlive = present;
    if (present - m_lastAlive < PATIENCE_WITHOUT_SERVERS)
        return;
    for (const auto &item : m_queue->clear())
        rejectQueued(item,
                     { wire::FAILURE_NO_SERVER, "no backend server of the shard answers",
                       "dispatch.queue", RETRY_AFTER_FULL_MS });
}

auto ShardWorker::expireQueued() -> void
{
    for (const auto &item : m_queue->expire(now()))
        rejectQueued(
            item,
            { wire::FAILURE_DEADLINE, "the deadline came before its turn", "dispatch.queue", 0 });
}

auto ShardWorker::cutLate() -> void
{
    const auto present = now();
    auto late = std::vector<RunningPtr>();
    for (const auto &[id, running] : m_running) {
        if (running->pending.item.deadline <= present)
            late.push_back(running);
    }
    for (const auto &running : late)
        cutRunning(running, wire::FAILURE_DEADLINE, "the deadline came while it ran");
}

auto ShardWorker::followState(shards::ShardState state) -> void
{
    const auto before = m_state;
    m_state = state;
    if (before == state)
        return;
    if (state == shards::ShardState::NotOwner || state == shards::ShardState::Fenced) {
        const auto moved = state == shards::ShardState::NotOwner;
        const auto rejection =
            Rejection { moved ? wire::FAILURE_NOT_OWNER : wire::FAILURE_FENCED,
                        moved ? "the shard has moved on" : "this dispatcher may be cut off",
                        "dispatch.queue", RETRY_AFTER_MOVE_MS };
        for (const auto &item : m_queue->clear())
            rejectQueued(item, rejection);
        return;
    }
    if (before == shards::ShardState::Handover)
        return;
    for (auto &[id, server] : m_servers)
        server->forget(now());
}

auto ShardWorker::update(ShardUpdate update) -> void
{
    m_configuration = std::move(update.configuration);
    followState(update.state);
    followServers(std::move(update.servers));
    pump();
}

auto ShardWorker::tick() -> void
{
    expireQueued();
    cutLate();
    rejectWithoutServers();
    removeGoneServers();
    pump();
    m_metrics->queued.set(static_cast<double>(m_pending.size()));
    m_metrics->running.set(static_cast<double>(m_running.size()));
}

auto ShardWorker::mayRun(wire::Priority priority) const -> bool
{
    if (priority != wire::PRIORITY_ROLLOUT || m_configuration == nullptr)
        return true;
    const auto *preset = m_configuration->preset();
    if (preset == nullptr || preset->rolloutShare >= WHOLE_SHARE)
        return true;
    auto capacity = 0U;
    for (const auto &[id, server] : m_servers) {
        if (server->inService() && server->alive())
            capacity += server->allowance(now());
    }
    const auto rollouts = std::count_if(m_running.begin(), m_running.end(), [](const auto &entry) {
        return entry.second->pending.item.priority == wire::PRIORITY_ROLLOUT;
    });
    const auto most = (capacity * preset->rolloutShare + WHOLE_SHARE - 1) / WHOLE_SHARE;
    return static_cast<std::uint32_t>(rollouts) < most;
}

auto ShardWorker::pump() -> void
{
    if (m_state != shards::ShardState::Serving || m_stopped)
        return;
    while (startNext()) { }
    if (m_queue->size() == 0)
        m_earlyRefusal.onEmpty();
}

auto ShardWorker::reservedServer(const std::vector<request::placement::Candidate> &candidates)
    -> std::optional<std::size_t>
{
    std::erase_if(m_isolated, [this](const auto &id) { return !m_pending.contains(id); });
    auto best = std::optional<std::size_t>();
    if (m_isolated.empty())
        return best;
    // Under steady load no server would ever become empty by itself.
    for (auto index = std::size_t(0); index < candidates.size(); ++index) {
        const auto &server = candidates[index];
        const auto usable =
            server.alive && !server.leaving && !server.zoneOut && !server.held && !server.isolated;
        if (usable && (!best || server.running < candidates[*best].running))
            best = index;
    }
    return best;
}

auto ShardWorker::startNext() -> bool
{
    if (m_queue->size() == 0)
        return false;
    const auto present = now();
    auto candidates = std::vector<request::placement::Candidate>();
    for (const auto &[id, server] : m_servers)
        candidates.push_back(server->candidate(present));
    const auto reserved = reservedServer(candidates);
    const auto rolloutsMayRun = mayRun(wire::PRIORITY_ROLLOUT);
    auto chosen = std::optional<std::size_t>();
    const auto canStart = [&](const request::queue::QueueItem &item) {
        if (item.deadline <= present)
            return false;
        if (item.priority == wire::PRIORITY_ROLLOUT && !rolloutsMayRun)
            return false;
        const auto &submit = m_pending.at(item.id).submit;
        const auto avoided =
            std::vector<std::string>(submit.avoid_servers().begin(), submit.avoid_servers().end());
        if (reserved.has_value())
            candidates[*reserved].isolated = !submit.isolate();
        auto request = request::placement::PlacementRequest();
        request.idempotent = submit.idempotent();
        request.isolate = submit.isolate();
        request.minWeightVersion = submit.min_weight_version();
        request.avoidServers = avoided;
        request.prefixKey = submit.prefix_key();
        chosen = m_placement->pick(candidates, request);
        return chosen.has_value();
    };
    const auto taken = m_queue->take(canStart);
    if (!taken.has_value() || !chosen.has_value())
        return false;
    auto pending = std::move(m_pending.extract(taken->id).mapped());
    m_earlyRefusal.onTaken(present - taken->enqueued, present);
    m_metrics->waited.record(present - taken->enqueued);
    start(std::move(pending), m_servers.at(candidates[*chosen].id));
    return true;
}

auto ShardWorker::loadHint() const -> wire::LoadHint
{
    auto hint = wire::LoadHint();
    auto capacity = 0U;
    for (const auto &[id, server] : m_servers) {
        if (server->inService() && server->alive())
            capacity += server->allowance(now());
    }
    hint.set_shard(m_shard);
    hint.set_queued(static_cast<std::uint32_t>(m_pending.size()));
    hint.set_running(static_cast<std::uint32_t>(m_running.size()));
    hint.set_capacity(capacity);
    return hint;
}

auto ShardWorker::report() const -> wire::ShardReport
{
    auto report = wire::ShardReport();
    *report.mutable_load() = loadHint();
    report.set_service(m_service);
    auto newest = std::uint64_t(0);
    for (const auto &[id, server] : m_servers) {
        auto &line = *report.add_servers();
        line.set_server(id);
        line.set_cold(server->isCold(now()));
        line.set_running(server->running());
        line.set_limit(server->allowance(now()));
        line.set_weight_version(server->weightVersion());
        line.set_alive(server->alive());
        newest = std::max(newest, server->weightVersion());
    }
    report.set_newest_weight_version(newest);
    return report;
}

auto ShardWorker::stop() -> void
{
    m_stopped = true;
}

} // namespace nutmegplank::process::dispatch
