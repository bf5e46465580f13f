#include "version/weights/wavescheduler.h"

#include <algorithm>
#include <cmath>

#include "base/text.h"

namespace nutmegplank::version::weights {

namespace {

constexpr auto LOAD_MARGIN = 3; //!< A load has failed after this many times the measured one.
constexpr auto SMOOTHING = 4;   //!< Weight of the past in the measured load time.
constexpr auto MOST_DOUBLINGS = 10U;

auto find(const std::vector<Engine> &engines, const std::string &id) -> const Engine *
{
    const auto found = std::find_if(engines.begin(), engines.end(),
                                    [&](const Engine &engine) { return engine.id == id; });
    return found == engines.end() ? nullptr : &*found;
}

auto bootOf(const Engine &engine) -> std::string
{
    return base::concat(engine.id, "/", engine.bootId);
}

} // namespace

WaveScheduler::WaveScheduler(WaveTimes times)
    : m_times(times)
{ }

auto WaveScheduler::decide(const WaveInput &input) -> WaveDecision
{
    auto decision = WaveDecision();
    finishLoads(input);
    repeatLost(input, decision);
    startNew(input, decision);
    for (const auto &[server, load] : m_loads) {
        decision.watch.push_back(server);
        if (load.order.kind == EngineOrderKind::LoadModel)
            decision.hold.push_back(server);
    }
    return decision;
}

auto WaveScheduler::taken(const std::string &server, const std::string &orderId) -> void
{
    const auto load = m_loads.find(server);
    if (load == m_loads.end() || load->second.order.orderId != orderId)
        return;
    load->second.taken = true;
    if (load->second.order.kind == EngineOrderKind::LoadAdapter)
        m_adapters[base::concat(server, "/", load->second.bootId)].insert(
            load->second.order.adapter);
}

auto WaveScheduler::loadTime() const -> base::Duration
{
    if (!m_measuredLoad)
        return m_times.firstLoad;
    return std::clamp(base::Duration(LOAD_MARGIN * *m_measuredLoad), m_times.shortestLoad,
                      m_times.longestLoad);
}

auto WaveScheduler::isDone(const Load &load, const Engine &engine) const -> bool
{
    if (load.order.kind == EngineOrderKind::LoadAdapter)
        return load.taken;
    if (!engine.known)
        return false;
    if (load.order.kind == EngineOrderKind::LoadModel)
        return engine.model == load.order.model;
    return engine.weightVersion >= load.order.version;
}

auto WaveScheduler::finishLoads(const WaveInput &input) -> void
{
    for (auto entry = m_loads.begin(); entry != m_loads.end();) {
        const auto &[server, load] = *entry;
        const auto *engine = find(input.engines, server);
        const auto age = input.now - load.started;
        const auto restarted = engine != nullptr && engine->known && !load.bootId.empty()
            && engine->bootId != load.bootId;
        const auto done = engine != nullptr && isDone(load, *engine);
        if (done && load.order.kind == EngineOrderKind::LoadWeights)
            m_measuredLoad =
                m_measuredLoad ? (SMOOTHING * *m_measuredLoad + age) / (SMOOTHING + 1) : age;
        if (done)
            m_failures.erase(server);
        else if (engine != nullptr && (restarted || age > loadTime()))
            fail(server, input.now);
        else if (engine != nullptr) {
            ++entry;
            continue;
        }
        entry = m_loads.erase(entry);
    }
    std::erase_if(m_failures,
                  [&](const auto &entry) { return find(input.engines, entry.first) == nullptr; });
}

auto WaveScheduler::fail(const std::string &server, base::TimePoint now) -> void
{
    auto &failures = m_failures[server];
    const auto doublings = std::min(failures.count, MOST_DOUBLINGS);
    failures.retryAt =
        now + std::min(m_times.retryMost, base::Duration(m_times.retryFirst * (1 << doublings)));
    ++failures.count;
}

auto WaveScheduler::repeatLost(const WaveInput &input, WaveDecision &decision) -> void
{
    for (auto &[server, load] : m_loads) {
        if (load.taken || input.now - load.sent < m_times.repeatAfter)
            continue;
        load.sent = input.now;
        decision.send.push_back(load.order);
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
    // The boot id keeps an engine that forgot its weights from taking the order for a repeat.
    const auto idOf = [&](std::string_view what) {
        return base::concat(input.service, "-", engine.id, "-", engine.bootId, "-", what, "-",
                            attempt);
    };
    if (!input.model.empty() && !engine.model.empty() && engine.model != input.model) {
        order.kind = EngineOrderKind::LoadModel;
        order.model = input.model;
        order.orderId = idOf(base::concat("model-", input.model));
        return order;
    }
    if (input.newest && engine.weightVersion < input.newest->version) {
        order.kind = EngineOrderKind::LoadWeights;
        order.version = input.newest->version;
        order.source = input.newest->source;
        order.orderId = idOf(base::concat("v", input.newest->version));
        return order;
    }
    const auto loaded = m_adapters.find(bootOf(engine));
    for (const auto &adapter : input.adapters) {
        if (loaded != m_adapters.end() && loaded->second.contains(adapter))
            continue;
        order.kind = EngineOrderKind::LoadAdapter;
        order.adapter = adapter;
        order.orderId = idOf(base::concat("adapter-", adapter));
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
    const auto since = m_draining.try_emplace(engine.id, input.now).first->second;
    decision.hold.push_back(engine.id);
    return engine.running == 0 || input.now - since >= m_times.drain;
}

auto WaveScheduler::startNew(const WaveInput &input, WaveDecision &decision) -> void
{
    const auto share = static_cast<std::size_t>(
        std::ceil(static_cast<double>(input.engines.size()) * input.largestShare));
    const auto most =
        std::min(static_cast<std::size_t>(input.slots), std::max<std::size_t>(1, share));
    auto candidates = std::vector<const Engine *>();
    for (const auto &engine : input.engines) {
        if (engine.known && !m_loads.contains(engine.id))
            candidates.push_back(&engine);
    }
    std::sort(candidates.begin(), candidates.end(), [](const Engine *left, const Engine *right) {
        return std::tie(left->running, left->weightVersion, left->id)
            < std::tie(right->running, right->weightVersion, right->id);
    });
    for (const auto *engine : candidates) {
        if (m_loads.size() >= most)
            return;
        const auto order = nextOrder(input, *engine);
        if (!order || !mayStart(input, *engine, *order, decision))
            continue;
        m_draining.erase(engine->id);
        m_loads[engine->id] = Load { *order, engine->bootId, input.now, input.now, false };
        decision.send.push_back(*order);
    }
}

} // namespace nutmegplank::version::weights
