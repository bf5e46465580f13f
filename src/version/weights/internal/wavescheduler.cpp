#include "version/weights/wavescheduler.h"

#include <algorithm>
#include <cmath>

#include "base/text.h"

namespace nutmegplank::version::weights {

namespace {

constexpr auto LOAD_TIMEOUT_FACTOR = 3; //!< Timeout as a multiple of the average load time.
//! Weight of the previous average; a new value weighs 1.
constexpr auto LOAD_TIME_SMOOTHING = 4;
constexpr auto MAX_BACKOFF_DOUBLINGS = 10U;

auto findEngine(const std::vector<Engine> &engines, const std::string &id) -> const Engine *
{
    const auto found = std::find_if(engines.begin(), engines.end(),
                                    [&](const Engine &engine) { return engine.id == id; });
    return found == engines.end() ? nullptr : &*found;
}

auto bootKey(const Engine &engine) -> std::string
{
    return base::concat(engine.id, "/", engine.bootId);
}

} // namespace

WaveScheduler::WaveScheduler(WaveTiming timing)
    : m_timing(timing)
{ }

auto WaveScheduler::decide(const WaveInput &input) -> WaveDecision
{
    auto decision = WaveDecision();
    finishLoads(input);
    resendUnacknowledged(input, decision);
    startLoads(input, decision);
    for (const auto &[server, load] : m_loads) {
        decision.loadingServers.push_back(server);
        if (load.order.kind == EngineOrderKind::LoadModel)
            decision.serversToHold.push_back(server);
    }
    return decision;
}

auto WaveScheduler::markAccepted(const std::string &server, const std::string &orderId) -> void
{
    const auto load = m_loads.find(server);
    if (load == m_loads.end() || load->second.order.orderId != orderId)
        return;
    load->second.accepted = true;
    if (load->second.order.kind == EngineOrderKind::LoadAdapter)
        m_loadedAdapters[base::concat(server, "/", load->second.bootId)].insert(
            load->second.order.adapter);
}

auto WaveScheduler::loadTimeout() const -> base::Duration
{
    if (!m_averageLoadTime)
        return m_timing.initialLoadTimeout;
    return std::clamp(base::Duration(LOAD_TIMEOUT_FACTOR * *m_averageLoadTime),
                      m_timing.minLoadTimeout, m_timing.maxLoadTimeout);
}

auto WaveScheduler::isDone(const Load &load, const Engine &engine) const -> bool
{
    if (load.order.kind == EngineOrderKind::LoadAdapter)
        return load.accepted;
    if (!engine.hasStatus)
        return false;
    if (load.order.kind == EngineOrderKind::LoadModel)
        return engine.model == load.order.model;
    return engine.weightVersion >= load.order.version;
}

auto WaveScheduler::finishLoads(const WaveInput &input) -> void
{
    for (auto entry = m_loads.begin(); entry != m_loads.end();) {
        const auto &[server, load] = *entry;
        const auto *engine = findEngine(input.engines, server);
        const auto age = input.now - load.startedAt;
        const auto restarted = engine != nullptr && engine->hasStatus && !load.bootId.empty()
            && engine->bootId != load.bootId;
        const auto done = engine != nullptr && isDone(load, *engine);
        if (done && load.order.kind == EngineOrderKind::LoadWeights)
            m_averageLoadTime = m_averageLoadTime
                ? (LOAD_TIME_SMOOTHING * *m_averageLoadTime + age) / (LOAD_TIME_SMOOTHING + 1)
                : age;
        if (done)
            m_failures.erase(server);
        else if (engine != nullptr && (restarted || age > loadTimeout()))
            recordFailure(server, input.now);
        else if (engine != nullptr) {
            ++entry;
            continue;
        }
        entry = m_loads.erase(entry);
    }
    std::erase_if(m_failures, [&](const auto &entry) {
        return findEngine(input.engines, entry.first) == nullptr;
    });
}

auto WaveScheduler::recordFailure(const std::string &server, base::TimePoint now) -> void
{
    auto &failures = m_failures[server];
    const auto doublings = std::min(failures.count, MAX_BACKOFF_DOUBLINGS);
    failures.retryAt = now
        + std::min(m_timing.maxRetryDelay,
                   base::Duration(m_timing.initialRetryDelay * (1 << doublings)));
    ++failures.count;
}

auto WaveScheduler::resendUnacknowledged(const WaveInput &input, WaveDecision &decision) -> void
{
    for (auto &[server, load] : m_loads) {
        if (load.accepted || input.now - load.lastSentAt < m_timing.resendInterval)
            continue;
        load.lastSentAt = input.now;
        decision.ordersToSend.push_back(load.order);
    }
}

auto WaveScheduler::nextOrder(const WaveInput &input, const Engine &engine) const
    -> std::optional<EngineOrder>
{
    auto order = EngineOrder();
    order.server = engine.id;
    order.endpoint = engine.endpoint;
    order.checksFencing = engine.checksFencing;
    order.model = input.service;
    const auto failed = m_failures.find(engine.id);
    const auto attempt = failed == m_failures.end() ? 0 : failed->second.count;
    // Engines deduplicate orders by id. With the boot id, an engine that lost its weights in a
    // restart doesn't ignore the new order as a resend.
    const auto makeOrderId = [&](std::string_view orderTarget) {
        return base::concat(input.service, "-", engine.id, "-", engine.bootId, "-", orderTarget,
                            "-", attempt);
    };
    if (!input.model.empty() && !engine.model.empty() && engine.model != input.model) {
        order.kind = EngineOrderKind::LoadModel;
        order.model = input.model;
        order.orderId = makeOrderId(base::concat("model-", input.model));
        return order;
    }
    if (input.newestWeights && engine.weightVersion < input.newestWeights->version) {
        order.kind = EngineOrderKind::LoadWeights;
        order.version = input.newestWeights->version;
        order.source = input.newestWeights->source;
        order.orderId = makeOrderId(base::concat("v", input.newestWeights->version));
        return order;
    }
    const auto loaded = m_loadedAdapters.find(bootKey(engine));
    for (const auto &adapter : input.adapters) {
        if (loaded != m_loadedAdapters.end() && loaded->second.contains(adapter))
            continue;
        order.kind = EngineOrderKind::LoadAdapter;
        order.adapter = adapter;
        order.orderId = makeOrderId(base::concat("adapter-", adapter));
        return order;
    }
    return std::nullopt;
}

auto WaveScheduler::mayStart(const WaveInput &input, const Engine &engine, const EngineOrder &order,
                             WaveDecision &decision) -> bool
{
    const auto failed = m_failures.find(engine.id);
    if (failed != m_failures.end() && input.now < failed->second.retryAt)
        return false;
    if (order.kind != EngineOrderKind::LoadModel)
        return true;
    const auto drainStart = m_drainStarts.try_emplace(engine.id, input.now).first->second;
    decision.serversToHold.push_back(engine.id);
    return engine.running == 0 || input.now - drainStart >= m_timing.drainTimeout;
}

auto WaveScheduler::startLoads(const WaveInput &input, WaveDecision &decision) -> void
{
    const auto shareLimit = static_cast<std::size_t>(
        std::ceil(static_cast<double>(input.engines.size()) * input.maxLoadingShare));
    const auto maxLoads = std::min(static_cast<std::size_t>(input.maxConcurrentLoads),
                                   std::max<std::size_t>(1, shareLimit));
    auto candidates = std::vector<const Engine *>();
    for (const auto &engine : input.engines) {
        if (engine.hasStatus && !m_loads.contains(engine.id))
            candidates.push_back(&engine);
    }
    std::sort(candidates.begin(), candidates.end(), [](const Engine *left, const Engine *right) {
        return std::tie(left->running, left->weightVersion, left->id)
            < std::tie(right->running, right->weightVersion, right->id);
    });
    for (const auto *engine : candidates) {
        if (m_loads.size() >= maxLoads)
            return;
        const auto order = nextOrder(input, *engine);
        if (!order || !mayStart(input, *engine, *order, decision))
            continue;
        m_drainStarts.erase(engine->id);
        m_loads[engine->id] = Load { *order, engine->bootId, input.now, input.now, false };
        decision.ordersToSend.push_back(*order);
    }
}

} // namespace nutmegplank::version::weights
