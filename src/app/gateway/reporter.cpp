#include "app/gateway/reporter.h"

#include "base/hash.h"

namespace nutmegplank::app::gateway {

namespace {

using process::membership::Role;

constexpr auto USAGE_COPIES = std::size_t(3);
//! Unchanged counters are repeated now and then, for controllers that have lost them.
constexpr auto REPEAT_USAGE_TICKS = std::uint64_t(10);
//! Gateways for each second between two demand reports of one, which bounds what the holder gets.
constexpr auto GATEWAYS_PER_SECOND = std::uint64_t(40);
constexpr auto PLAN_SCOPE = "plan";

} // namespace

Reporter::Reporter(ReporterDependencies dependencies, std::string process)
    : m_dependencies(dependencies)
    , m_process(std::move(process))
{ }

auto Reporter::tick(base::TimePoint now) -> void
{
    ++m_ticks;
    const auto changed = m_dependencies.usage.collect().revision() != m_sentRevision;
    if (changed || m_ticks % REPEAT_USAGE_TICKS == 0 || usageTargets() != m_sentTo)
        sendUsage();
    const auto gateways = m_dependencies.membership.view()->liveIds(Role::Gateway).size();
    const auto period = 1 + gateways / GATEWAYS_PER_SECOND;
    if ((m_ticks + base::hash64(m_process)) % period == 0)
        sendDemand(now);
}

auto Reporter::usageTargets() const -> std::vector<std::string>
{
    const auto view = m_dependencies.membership.view();
    const auto controllers = view->liveIds(Role::Controller);
    auto targets = std::vector<std::string>();
    for (const auto &id : base::rendezvousRanking(m_process, controllers)) {
        if (targets.size() == USAGE_COPIES)
            break;
        targets.push_back(view->find(id)->linkAddress);
    }
    return targets;
}

auto Reporter::sendUsage() -> void
{
    const auto counters = m_dependencies.usage.collect();
    m_sentTo = usageTargets();
    m_sentRevision = counters.revision();
    if (counters.counters().empty())
        return;
    for (const auto &target : m_sentTo) {
        auto envelope = wire::Envelope();
        *envelope.mutable_usage_counters() = counters;
        // Counters only grow: a lost message is made good by the next one.
        static_cast<void>(m_dependencies.link.send(target, std::move(envelope)));
    }
}

auto Reporter::sendDemand(base::TimePoint now) -> void
{
    const auto elapsed = now - m_demandSent;
    const auto isFirst = m_demandSent == base::TimePoint();
    m_demandSent = now;
    const auto demand = m_dependencies.runner.collectDemand();
    const auto state = m_dependencies.log.state();
    const auto lease = state->leases.find(PLAN_SCOPE);
    if (isFirst || lease == state->leases.end())
        return;
    const auto holder = lease->second.holder.substr(0, lease->second.holder.find('#'));
    const auto view = m_dependencies.membership.view();
    const auto *member = view->find(holder);
    if (member == nullptr)
        return;
    const auto openSteps = m_dependencies.steps ? m_dependencies.steps->openSteps() : 0;
    for (const auto &service : demand) {
        auto envelope = wire::Envelope();
        auto *report = envelope.mutable_demand_report();
        report->set_service(service.service);
        report->set_arrivals_per_second(static_cast<double>(service.arrivals)
                                        / base::toSeconds(elapsed));
        report->set_waiting(service.waiting);
        report->set_wait_ms(base::toSeconds(service.meanWait) * std::milli::den);
        report->set_open_steps(static_cast<std::uint32_t>(openSteps));
        static_cast<void>(m_dependencies.link.send(member->linkAddress, std::move(envelope)));
    }
}

} // namespace nutmegplank::app::gateway
