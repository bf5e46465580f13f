#include "base/text.h"
#include "version/state/internal/recordreader.h"
#include "version/state/internal/recordrules.h"
#include "version/state/records.h"

namespace nutmegplank::version::state {

namespace {

constexpr auto MAX_SETTLED_ORDERS = std::size_t(256);
constexpr auto MAX_WINDOWS = std::size_t(16);

//! Drops the settled orders with the oldest intents beyond MAX_SETTLED_ORDERS.
auto trimOrders(std::map<std::string, OrderState> &orders) -> void
{
    auto settled = std::map<std::uint64_t, std::string>();
    for (const auto &[id, order] : orders) {
        if (order.settled)
            settled.emplace(order.offset, id);
    }
    while (settled.size() > MAX_SETTLED_ORDERS) {
        orders.erase(settled.begin()->second);
        settled.erase(settled.begin());
    }
}

//! Drops the oldest reported windows beyond MAX_WINDOWS. The newest window always stays, because
//! the next number follows from it.
auto trimWindows(std::map<std::uint64_t, UsageWindowState> &windows) -> void
{
    while (windows.size() > MAX_WINDOWS && windows.begin()->second.reported)
        windows.erase(windows.begin());
}

auto markReported(LogState &state, std::uint64_t number) -> absl::Status
{
    const auto found = state.windows.find(number);
    if (found == state.windows.end())
        return absl::FailedPreconditionError(
            base::concat("usage window ", number, " is not known"));
    found->second.reported = true;
    trimWindows(state.windows);
    return absl::OkStatus();
}

auto checkIsNextWindow(const LogState &state, std::uint64_t number) -> absl::Status
{
    const auto last = state.windows.empty() ? 0 : state.windows.rbegin()->first;
    if (number <= last)
        return absl::FailedPreconditionError(
            base::concat("usage window ", number, " stands already; its figures stay"));
    if (number != last + 1)
        return absl::FailedPreconditionError(
            base::concat("usage window ", number, " does not follow window ", last));
    return absl::OkStatus();
}

auto updateUsageMarks(LogState &state, std::vector<UsageMark> marks) -> void
{
    for (auto &mark : marks) {
        if (mark.counted.empty())
            state.usageMarks.erase(mark.process);
        else
            state.usageMarks[mark.process] = std::move(mark);
    }
}

} // namespace

auto applyWeights(LogState &state, const Record &record) -> absl::Status
{
    auto reader = recordReader(record.body);
    auto weights = WeightsState();
    weights.model = reader.string("model");
    weights.version = readNumber(reader, "version");
    weights.source = reader.string("source");
    weights.offset = record.offset;
    const auto status = reader.finish();
    if (!status.ok())
        return status;
    const auto found = state.weights.find(weights.model);
    if (found != state.weights.end()) {
        const auto &known = found->second;
        if (known.version == weights.version && known.source == weights.source)
            return absl::OkStatus();
        if (known.version >= weights.version)
            return absl::FailedPreconditionError(base::concat("version ", weights.version, " of ",
                                                              weights.model, " is not newer than ",
                                                              known.version));
    }
    state.weights[weights.model] = std::move(weights);
    return absl::OkStatus();
}

auto applyPlan(LogState &state, const Record &record) -> absl::Status
{
    auto reader = recordReader(record.body);
    auto plan = PlanState();
    plan.offset = record.offset;
    plan.preset = reader.string("preset", "");
    plan.targets = readPlanTargets(reader, "targets");
    const auto fencingNumber = readNumber(reader, "scope_fencing_number");
    auto status = reader.finish();
    if (status.ok())
        status = checkFencing(state, PLAN_SCOPE, fencingNumber);
    if (!status.ok())
        return status;
    state.plan = std::move(plan);
    return absl::OkStatus();
}

auto applyOrderIntent(LogState &state, const Record &record) -> absl::Status
{
    auto reader = recordReader(record.body);
    auto order = OrderState();
    order.offset = record.offset;
    order.orderId = reader.string("order_id");
    const auto kind = base::valueOf(ORDER_KIND_NAMES, reader.string("order_kind"));
    order.service = reader.string("service");
    order.zone = reader.string("zone");
    order.cheap = reader.boolean("cheap", false);
    order.server = reader.string("server", "");
    const auto scope = reader.string("scope");
    const auto fencingNumber = readNumber(reader, "fencing_number");
    if (!kind)
        reader.fail("order_kind",
                    base::concat("must be one of ", base::allowedNames(ORDER_KIND_NAMES)));
    order.kind = kind.value_or(OrderKind::Create);
    auto status = reader.finish();
    if (status.ok())
        status = checkFencing(state, scope, fencingNumber);
    if (!status.ok())
        return status;
    state.orders.emplace(order.orderId, order);
    return absl::OkStatus();
}

auto applyOrderOutcome(LogState &state, const Record &record) -> absl::Status
{
    auto reader = recordReader(record.body);
    const auto orderId = reader.string("order_id");
    const auto server = reader.string("server", "");
    const auto hasFencingNumber = reader.has("fencing_number");
    const auto scope = hasFencingNumber ? reader.string("scope") : std::string();
    const auto fencingNumber = readNumber(reader, "fencing_number", 0);
    auto status = reader.finish();
    if (status.ok() && hasFencingNumber)
        status = checkFencing(state, scope, fencingNumber);
    if (!status.ok())
        return status;
    const auto found = state.orders.find(orderId);
    if (found == state.orders.end())
        return absl::FailedPreconditionError(base::concat("order ", orderId, " is not known"));
    if (found->second.settled)
        return absl::OkStatus();
    found->second.settled = true;
    if (!server.empty())
        found->second.server = server;
    trimOrders(state.orders);
    return absl::OkStatus();
}

auto applyUsageWindow(LogState &state, const Record &record) -> absl::Status
{
    auto reader = recordReader(record.body);
    const auto number = readNumber(reader, "number");
    const auto reported = reader.boolean("reported", false);
    if (reported) {
        const auto status = reader.finish();
        return status.ok() ? markReported(state, number) : status;
    }
    auto window = UsageWindowState();
    window.number = number;
    window.startMs = reader.integer("start_ms", NON_NEGATIVE);
    window.endMs = reader.integer("end_ms", NON_NEGATIVE);
    window.figures = readUsageFigures(reader, "figures");
    window.offset = record.offset;
    auto marks = readUsageMarks(reader, "marks");
    const auto fencingNumber = readNumber(reader, "fencing_number");
    auto status = reader.finish();
    if (status.ok())
        status = checkFencing(state, USAGE_SCOPE, fencingNumber);
    if (status.ok())
        status = checkIsNextWindow(state, number);
    if (!status.ok())
        return status;
    state.windows.emplace(number, std::move(window));
    updateUsageMarks(state, std::move(marks));
    trimWindows(state.windows);
    return absl::OkStatus();
}

} // namespace nutmegplank::version::state
