#include "version/plan/planrunner.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "base/status.h"
#include "base/text.h"
#include "process/clock/clock.h"
#include "process/logging/logging.h"
#include "version/plan/lostzones.h"

namespace nutmegplank::version::plan {

namespace {

namespace asio = boost::asio;
constexpr auto APPEND_TIMEOUT = base::Duration(std::chrono::seconds(5));

auto sameTargets(const std::vector<state::PlanTarget> &left,
                 const std::vector<state::PlanTarget> &right) -> bool
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const state::PlanTarget &one, const state::PlanTarget &other) {
                          return one.service == other.service && one.zone == other.zone
                              && one.ordinary == other.ordinary && one.cheap == other.cheap;
                      });
}

auto planRecord(std::uint64_t fencingNumber, const std::string &preset,
                const std::vector<state::PlanTarget> &targets) -> boost::json::object
{
    auto targetList = boost::json::array();
    for (const auto &target : targets) {
        targetList.push_back(boost::json::object { { "service", target.service },
                                                   { "zone", target.zone },
                                                   { "dear", target.ordinary },
                                                   { "cheap", target.cheap } });
    }
    return { { "scope_fencing_number", fencingNumber },
             { "preset", preset },
             { "targets", targetList } };
}

} // namespace

class PlanRunner::Loop : public std::enable_shared_from_this<Loop>
{
public:
    Loop(asio::io_context &context, PlanDependencies dependencies, PlanPolicy policy,
         base::Duration period)
        : m_strand(asio::make_strand(context))
        , m_timer(m_strand)
        , m_dependencies(dependencies)
        , m_policy(policy)
        , m_planner(policy)
        , m_period(period)
        , m_plansWritten(dependencies.metrics.counter("controller_plans_total",
                                                      "Plan records that this process wrote."))
    { }

    auto start() -> void
    {
        asio::co_spawn(
            m_strand, [self = shared_from_this()] { return self->run(); }, asio::detached);
    }

    auto stop() -> void
    {
        m_stopped = true;
        asio::post(m_strand, [self = shared_from_this()] { self->m_timer.cancel(); });
    }

private:
    auto run() -> asio::awaitable<void>
    {
        while (!m_stopped) {
            co_await tick(process::clock::now());
            m_timer.expires_after(m_period);
            co_await m_timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    auto tick(base::TimePoint now) -> asio::awaitable<void>
    {
        const auto number = m_dependencies.lease.fencingNumber(now);
        if (number != m_fencingNumber)
            m_planner = Planner(m_policy);
        m_fencingNumber = number;
        if (!number)
            co_return;
        const auto state = m_dependencies.log.state();
        auto input = PlanInput();
        input.configuration = state->configuration;
        input.servers = m_dependencies.inventory.view();
        input.loads = m_dependencies.reports.services(now);
        input.lostZones = lostZones(*input.servers, m_dependencies.reports.servers(now));
        input.loggedPlan = state->plan;
        input.now = now;
        const auto targets = m_planner.plan(input);
        const auto preset = state->configuration->presetInForce;
        if (!targets
            || (preset == state->plan.preset && sameTargets(*targets, state->plan.targets)))
            co_return;
        co_await write(*number, preset, *targets);
    }

    auto write(std::uint64_t number, std::string preset, std::vector<state::PlanTarget> targets)
        -> asio::awaitable<void>
    {
        const auto id = base::concat("plan/", number, "/", ++m_sequence);
        auto record = planRecord(number, preset, targets);
        const auto appended = co_await m_dependencies.log.append(state::RecordKind::Plan, id,
                                                                 std::move(record), APPEND_TIMEOUT);
        if (!appended.ok()) {
            process::logging::warning("plan.append_failed",
                                      { { "problem", base::describe(appended.status()) } });
            co_return;
        }
        m_plansWritten.add();
        process::logging::info("plan.written", { { "preset", preset }, { "offset", *appended } });
    }

    asio::strand<asio::io_context::executor_type> m_strand;
    asio::steady_timer m_timer;
    PlanDependencies m_dependencies;
    PlanPolicy m_policy;
    Planner m_planner;
    base::Duration m_period;
    process::metrics::Counter &m_plansWritten;
    std::optional<std::uint64_t> m_fencingNumber;
    std::uint64_t m_sequence = 0;
    std::atomic<bool> m_stopped = false;
};

PlanRunner::PlanRunner(asio::io_context &context, PlanDependencies dependencies, PlanPolicy policy,
                       base::Duration period)
    : m_loop(std::make_shared<Loop>(context, dependencies, policy, period))
{
    m_loop->start();
}

PlanRunner::~PlanRunner()
{
    m_loop->stop();
}

} // namespace nutmegplank::version::plan
