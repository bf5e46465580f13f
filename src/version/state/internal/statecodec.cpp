#include "version/state/statecodec.h"

#include <boost/json.hpp>

#include "version/configuration/change.h"
#include "version/configuration/codec.h"
#include "version/state/internal/recordreader.h"
#include "version/state/records.h"

namespace nutmegplank::version::state {

namespace {

namespace json = boost::json;
using configuration::Configuration;

auto toJson(const LeaseState &lease) -> json::object
{
    return { { "scope", lease.scope },
             { "holder", lease.holder },
             { "fencing_number", lease.fencingNumber },
             { "last_renewal_offset", lease.lastRenewalOffset },
             { "last_renewal_id", lease.lastRenewalId },
             { "term_ms", base::toMilliseconds(lease.term) } };
}

auto readLease(base::ObjectReader &reader) -> LeaseState
{
    auto lease = LeaseState();
    lease.scope = reader.string("scope");
    lease.holder = reader.string("holder", "");
    lease.fencingNumber = readNumber(reader, "fencing_number");
    lease.lastRenewalOffset = readNumber(reader, "last_renewal_offset");
    lease.lastRenewalId = reader.string("last_renewal_id", "");
    lease.term = std::chrono::milliseconds(readNumber(reader, "term_ms"));
    return lease;
}

auto toJson(const WeightsState &weights) -> json::object
{
    return { { "model", weights.model },
             { "version", weights.version },
             { "source", weights.source },
             { "offset", weights.offset } };
}

auto readWeights(base::ObjectReader &reader) -> WeightsState
{
    auto weights = WeightsState();
    weights.model = reader.string("model");
    weights.version = readNumber(reader, "version");
    weights.source = reader.string("source");
    weights.offset = readNumber(reader, "offset");
    return weights;
}

auto toJson(const OrderState &order) -> json::object
{
    return {
        { "order_id", order.orderId }, { "order_kind", base::nameOf(ORDER_KIND_NAMES, order.kind) },
        { "service", order.service },  { "zone", order.zone },
        { "cheap", order.cheap },      { "server", order.server },
        { "settled", order.settled },  { "offset", order.offset }
    };
}

auto readOrder(base::ObjectReader &reader) -> OrderState
{
    auto order = OrderState();
    order.orderId = reader.string("order_id");
    order.kind =
        base::valueOf(ORDER_KIND_NAMES, reader.string("order_kind")).value_or(OrderKind::Create);
    order.service = reader.string("service");
    order.zone = reader.string("zone");
    order.cheap = reader.boolean("cheap", false);
    order.server = reader.string("server", "");
    order.settled = reader.boolean("settled", false);
    order.offset = readNumber(reader, "offset");
    return order;
}

auto toJson(const UsageWindowState &window) -> json::object
{
    return { { "number", window.number },     { "start_ms", window.startMs },
             { "end_ms", window.endMs },      { "figures", state::toJson(window.figures) },
             { "reported", window.reported }, { "offset", window.offset } };
}

auto readUsageWindow(base::ObjectReader &reader) -> UsageWindowState
{
    auto window = UsageWindowState();
    window.number = readNumber(reader, "number");
    window.startMs = reader.integer("start_ms", NON_NEGATIVE);
    window.endMs = reader.integer("end_ms", NON_NEGATIVE);
    window.figures = readUsageFigures(reader, "figures");
    window.reported = reader.boolean("reported", false);
    window.offset = readNumber(reader, "offset");
    return window;
}

auto readAuditEntry(base::ObjectReader &reader) -> AuditEntryPtr
{
    auto entry = AuditEntry();
    entry.offset = readNumber(reader, "offset");
    entry.wallMs = reader.integer("wall_ms", NON_NEGATIVE);
    entry.who = reader.string("who", "");
    entry.why = reader.string("why", "");
    entry.what = reader.string("what", "");
    entry.before = reader.raw("before");
    entry.after = reader.raw("after");
    entry.conflict = reader.boolean("conflict", false);
    return std::make_shared<const AuditEntry>(std::move(entry));
}

template <typename Map>
auto valuesToJson(const Map &map) -> json::array
{
    auto array = json::array();
    for (const auto &[name, value] : map)
        array.emplace_back(toJson(value));
    return array;
}

template <typename Map, typename Read, typename KeyOf>
auto readMap(base::ObjectReader &reader, std::string_view field, Map &map, Read read, KeyOf keyOf)
    -> void
{
    for (auto &nested : reader.objects(field)) {
        auto value = read(nested);
        reader.absorb(nested);
        auto key = keyOf(value);
        map.emplace(std::move(key), std::move(value));
    }
}

auto readConfiguration(base::ObjectReader &reader) -> configuration::ConfigurationPtr
{
    auto result = Configuration();
    const auto byName = [](const auto &object) { return object.name; };
    const auto byId = [](const auto &object) { return object.id; };
    readMap(reader, "workspaces", result.workspaces, configuration::parseWorkspace, byName);
    readMap(reader, "keys", result.keys, configuration::parseKey, byId);
    readMap(reader, "services", result.services, configuration::parseService, byName);
    readMap(reader, "routes", result.routes, configuration::parseRoute, byName);
    readMap(reader, "zones", result.zones, configuration::parseZone, byName);
    readMap(reader, "presets", result.presets, configuration::parsePreset, byName);
    result.presetInForce = reader.string("preset_in_force", "");
    result.version = readNumber(reader, "version");
    configuration::rebuildIndexes(result);
    return std::make_shared<const Configuration>(std::move(result));
}

auto readPlan(base::ObjectReader &reader) -> PlanState
{
    auto plan = PlanState();
    plan.offset = readNumber(reader, "offset");
    plan.preset = reader.string("preset", "");
    plan.targets = readPlanTargets(reader, "targets");
    return plan;
}

auto usageMarksToJson(const std::map<std::string, UsageMark> &marks) -> json::array
{
    auto array = json::array();
    for (const auto &[process, mark] : marks)
        array.emplace_back(state::toJson(mark));
    return array;
}

} // namespace

auto auditToJson(const AuditEntry &entry) -> json::object
{
    return { { "offset", entry.offset }, { "wall_ms", entry.wallMs },   { "who", entry.who },
             { "why", entry.why },       { "what", entry.what },        { "before", entry.before },
             { "after", entry.after },   { "conflict", entry.conflict } };
}

auto stateToJson(const LogState &state) -> json::object
{
    auto configuration = configuration::toJson(*state.configuration);
    configuration["version"] = state.configuration->version;
    auto audit = json::array();
    for (const auto &entry : state.audit)
        audit.emplace_back(auditToJson(*entry));
    auto plan = json::object { { "offset", state.plan.offset },
                               { "preset", state.plan.preset },
                               { "targets", toJson(state.plan.targets) } };
    return { { "next_offset", state.nextOffset },
             { "configuration", std::move(configuration) },
             { "leases", valuesToJson(state.leases) },
             { "weights", valuesToJson(state.weights) },
             { "plan", std::move(plan) },
             { "orders", valuesToJson(state.orders) },
             { "windows", valuesToJson(state.windows) },
             { "usage_marks", usageMarksToJson(state.usageMarks) },
             { "audit", std::move(audit) } };
}

auto stateFromJson(base::ObjectReader &reader) -> LogState
{
    auto state = LogState();
    state.nextOffset = readNumber(reader, "next_offset");
    auto configurationReader = reader.object("configuration");
    state.configuration = readConfiguration(configurationReader);
    reader.absorb(configurationReader);
    auto planReader = reader.object("plan");
    state.plan = readPlan(planReader);
    reader.absorb(planReader);
    readMap(reader, "leases", state.leases, readLease, [](const auto &v) { return v.scope; });
    readMap(reader, "weights", state.weights, readWeights, [](const auto &v) { return v.model; });
    readMap(reader, "orders", state.orders, readOrder, [](const auto &v) { return v.orderId; });
    readMap(reader, "windows", state.windows, readUsageWindow,
            [](const auto &v) { return v.number; });
    for (auto &mark : readUsageMarks(reader, "usage_marks"))
        state.usageMarks[mark.process] = mark;
    for (auto &nested : reader.objects("audit")) {
        state.audit.push_back(readAuditEntry(nested));
        reader.absorb(nested);
    }
    return state;
}

} // namespace nutmegplank::version::state
