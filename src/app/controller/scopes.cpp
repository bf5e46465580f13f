#include "app/controller/scopes.h"

#include <algorithm>

#include "base/hash.h"
#include "base/text.h"
#include "process/clock/clock.h"
#include "version/command/servernotices.h"

namespace nutmegplank::app {

namespace {

namespace asio = boost::asio;

constexpr auto FOLLOW_EVERY = std::chrono::milliseconds(250);
constexpr auto HOLD_TIME = base::Duration(std::chrono::seconds(10));
constexpr auto PLAN_SCOPE = "plan";
constexpr auto USAGE_SCOPE = "usage";
constexpr auto SNAPSHOT_SCOPE = "snapshot";

} // namespace

Scopes::Scopes(ScopeDependencies dependencies, const ControllerSettings &settings)
    : m_dependencies(dependencies)
    , m_settings(settings)
{
    const auto self = dependencies.membership.self();
    m_holder = base::concat(self.id, "#", self.incarnation);
}

auto Scopes::start() -> void
{
    auto &context = m_dependencies.context;
    auto planDependencies =
        version::plan::PlanDependencies { m_dependencies.log, *open(PLAN_SCOPE).lease,
                                          m_dependencies.inventory, m_dependencies.reports,
                                          m_dependencies.metrics };
    m_plan = std::make_unique<version::plan::PlanRunner>(context, planDependencies, m_settings.plan,
                                                         m_settings.planPeriod);
    auto usageDependencies =
        version::usage::UsageDependencies { m_dependencies.log, *open(USAGE_SCOPE).caller,
                                            m_dependencies.link, m_dependencies.membership,
                                            m_dependencies.metrics };
    auto usageOptions = version::usage::UsageOptions();
    usageOptions.reportingEndpoint = { m_settings.usageReporting,
                                       m_settings.reportingChecksFencing };
    usageOptions.reporterId = m_settings.node.id;
    usageOptions.window = m_settings.usageWindow;
    m_usage = std::make_unique<version::usage::UsageRunner>(context, usageDependencies,
                                                            std::move(usageOptions));
    m_snapshots = version::state::makeSnapshotWriter(context, m_dependencies.log,
                                                     *open(SNAPSHOT_SCOPE).lease);
    asio::co_spawn(
        context, [this] { return follow(); }, asio::detached);
}

auto Scopes::open(const std::string &name) -> Scope &
{
    const auto lock = std::lock_guard(m_mutex);
    auto &scope = m_scopes[name];
    auto options = version::lease::LeaseOptions();
    options.scope = name;
    options.holder = m_holder;
    options.term = m_settings.leaseTerm;
    const auto turn = std::make_shared<version::command::ClaimTurn>(
        version::lease::deriveLeaseTimes(m_settings.leaseTerm));
    options.preferred = [this, name, turn](base::TimePoint now) {
        return mayClaim(name, *turn, now);
    };
    scope.lease = version::lease::makeLease(m_dependencies.context, m_dependencies.log, options);
    scope.caller = std::make_unique<version::command::FencedCaller>(
        *scope.lease, version::command::deriveFencedTimes(m_settings.leaseTerm));
    return scope;
}

auto Scopes::mayClaim(const std::string &scope, version::command::ClaimTurn &turn,
                      base::TimePoint now) const -> bool
{
    const auto rankOf = [&] {
        const auto ids =
            m_dependencies.membership.view()->liveIds(process::membership::Role::Controller);
        const auto ranking = base::rendezvousRanking(scope, ids);
        const auto own = std::find(ranking.begin(), ranking.end(), m_settings.node.id);
        return static_cast<std::size_t>(own - ranking.begin());
    };
    const auto state = m_dependencies.log.state();
    const auto lease = state->leases.find(scope);
    return turn.mayClaim(rankOf, lease == state->leases.end() ? nullptr : &lease->second, now);
}

auto Scopes::follow() -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(co_await asio::this_coro::executor);
    while (!m_released) {
        openNew();
        timer.expires_after(FOLLOW_EVERY);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

auto Scopes::openNew() -> void
{
    const auto configuration = m_dependencies.log.state()->configuration;
    const auto servers = m_dependencies.inventory.view();
    for (const auto &zone : version::plan::knownZones(*configuration, *servers))
        openZone(zone);
    for (const auto &[name, service] : configuration->services) {
        if (service.kind == version::configuration::ServiceKind::Engine)
            openEngines(name);
    }
}

auto Scopes::openZone(const std::string &zone) -> void
{
    const auto name = base::concat("orders/", zone);
    if (m_scopes.contains(name))
        return;
    auto &scope = open(name);
    auto dependencies = version::orders::OrderDependencies {
        m_dependencies.log,       *scope.caller,
        m_dependencies.inventory, m_dependencies.reports,
        m_dependencies.metrics,   [this](const std::vector<std::string> &ids) { hold(ids); },
    };
    auto options = version::orders::OrderOptions();
    options.zone = zone;
    options.ordering = { m_settings.ordering, m_settings.orderingChecksFencing };
    options.period = m_settings.orderPeriod;
    options.times.listLag = m_settings.listLag;
    options.times.drainTimeout = m_settings.drainTime;
    scope.orders = std::make_unique<version::orders::OrderRunner>(
        m_dependencies.context, std::move(dependencies), std::move(options));
}

auto Scopes::openEngines(const std::string &service) -> void
{
    const auto name = base::concat("weights/", service);
    if (m_scopes.contains(name))
        return;
    auto &scope = open(name);
    auto dependencies = version::weights::WeightDependencies {
        m_dependencies.log,       *scope.caller,
        m_dependencies.inventory, m_dependencies.reports,
        m_dependencies.metrics,   [this](const std::vector<std::string> &ids) { hold(ids); },
    };
    auto options = version::weights::WeightOptions();
    options.service = service;
    options.maxConcurrentStoreLoads = m_settings.weightStoreRate;
    scope.weights = std::make_unique<version::weights::WeightRunner>(
        m_dependencies.context, std::move(dependencies), std::move(options));
}

auto Scopes::hold(const std::vector<std::string> &servers) -> void
{
    version::command::holdServers(m_dependencies.link, m_dependencies.membership, servers,
                                  HOLD_TIME);
}

auto Scopes::release() -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_released = true;
    for (auto &[name, scope] : m_scopes)
        scope.lease->release();
}

auto Scopes::take(const wire::Envelope &message) -> void
{
    m_dependencies.reports.take(message, process::clock::now());
    m_usage->take(message);
}

auto Scopes::status() const -> boost::json::object
{
    const auto now = process::clock::now();
    const auto lock = std::lock_guard(m_mutex);
    auto held = boost::json::object();
    for (const auto &[name, scope] : m_scopes) {
        const auto number = scope.lease->fencingNumber(now);
        if (number)
            held[name] = *number;
    }
    return { { "leases", held } };
}

} // namespace nutmegplank::app
