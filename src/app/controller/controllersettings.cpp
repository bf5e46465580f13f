#include "app/controller/controllersettings.h"

#include "base/text.h"

namespace nutmegplank::app {

namespace {

using base::DurationRange;
using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr auto TERM_RANGE = DurationRange { milliseconds(100), minutes(1) };
constexpr auto WINDOW_RANGE = DurationRange { milliseconds(100), hours(1) };
constexpr auto PERIOD_RANGE = DurationRange { milliseconds(10), minutes(1) };
constexpr auto WAIT_RANGE = DurationRange { milliseconds(0), hours(1) };
constexpr auto RATE_RANGE = base::IntegerRange { 1, 10'000 };
constexpr auto LARGEST_QUEUE = 1e6;
constexpr auto LARGEST_WAIT_MS = 1e6;

auto readEndpoint(base::ObjectReader &reader, std::string_view field) -> std::string
{
    auto endpoint = reader.string(field);
    if (!endpoint.empty() && !process::settings::isEndpoint(endpoint))
        reader.fail(field, "must be an IP number and a port, such as \"10.0.0.1:7000\"");
    return endpoint;
}

auto readOperators(base::ObjectReader &reader) -> std::vector<process::admin::OperatorKey>
{
    auto operators = std::vector<process::admin::OperatorKey>();
    for (auto &entry : reader.objects("operators")) {
        auto key = process::admin::OperatorKey();
        key.name = entry.string("name");
        key.sha256 = entry.string("sha256");
        reader.absorb(entry);
        operators.push_back(std::move(key));
    }
    return operators;
}

template <typename Table, typename Value>
auto readName(base::ObjectReader &reader, std::string_view field, const Table &table,
              Value fallback) -> Value
{
    const auto text = reader.string(field, base::nameOf(table, fallback));
    const auto value = base::valueOf(table, text);
    if (!value)
        reader.fail(field, base::concat("is unknown; allowed: ", base::allowedNames(table)));
    return value.value_or(fallback);
}

auto readPolicy(base::ObjectReader &reader) -> version::plan::PlanPolicy
{
    auto policy = version::plan::PlanPolicy();
    auto fields = reader.object("policy");
    policy.scalingMode =
        readName(fields, "spending", version::plan::SCALING_MODE_NAMES, policy.scalingMode);
    policy.zoneHeadroom =
        readName(fields, "zone_room", version::plan::ZONE_HEADROOM_NAMES, policy.zoneHeadroom);
    policy.growQueuePerServer =
        fields.number("grow_queue", 0, LARGEST_QUEUE, policy.growQueuePerServer);
    policy.growWaitMs = fields.number("grow_wait_ms", 0, LARGEST_WAIT_MS, policy.growWaitMs);
    policy.growFraction = fields.number("grow_step", 0, 1, policy.growFraction);
    policy.shrinkUtilization = fields.number("calm_share", 0, 1, policy.shrinkUtilization);
    policy.growDelay = fields.duration("grow_after", WAIT_RANGE, policy.growDelay);
    policy.growInterval = fields.duration("grow_every", WAIT_RANGE, policy.growInterval);
    policy.shrinkDelay = fields.duration("release_after", WAIT_RANGE, policy.shrinkDelay);
    policy.shrinkInterval = fields.duration("release_every", WAIT_RANGE, policy.shrinkInterval);
    reader.absorb(fields);
    return policy;
}

} // namespace

auto readControllerSettings(const std::string &path) -> absl::StatusOr<ControllerSettings>
{
    const auto value = process::settings::readFile(path);
    if (!value.ok())
        return value.status();
    auto reader = base::ObjectReader(*value, path);
    auto settings = ControllerSettings();
    settings.node = process::settings::readNode(reader);
    settings.vmList = readEndpoint(reader, "vm_list");
    settings.ordering = readEndpoint(reader, "ordering");
    settings.orderingChecksFencing = reader.boolean("ordering_checks_fencing", false);
    settings.usageReporting = readEndpoint(reader, "usage_reporting");
    settings.reportingChecksFencing = reader.boolean("reporting_checks_fencing", false);
    settings.operators = readOperators(reader);
    settings.leaseTerm = reader.duration("lease_term", TERM_RANGE, settings.leaseTerm);
    settings.usageWindow = reader.duration("usage_window", WINDOW_RANGE, settings.usageWindow);
    settings.planPeriod = reader.duration("plan_period", PERIOD_RANGE, settings.planPeriod);
    settings.orderPeriod = reader.duration("order_period", PERIOD_RANGE, settings.orderPeriod);
    settings.listLag = reader.duration("list_lag", WAIT_RANGE, settings.listLag);
    settings.drainTime = reader.duration("drain_time", WAIT_RANGE, settings.drainTime);
    settings.weightStoreRate = static_cast<std::uint32_t>(
        reader.integer("weight_store_rate", RATE_RANGE, settings.weightStoreRate));
    settings.plan = readPolicy(reader);
    const auto problem = reader.finish();
    if (!problem.ok())
        return problem;
    return settings;
}

} // namespace nutmegplank::app
