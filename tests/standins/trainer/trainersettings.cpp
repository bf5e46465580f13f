#include "trainersettings.h"

#include "base/text.h"
#include "process/settings/settings.h"

namespace nutmegplank::standins::trainer {

namespace {

constexpr auto MOST = std::int64_t(1'000'000'000);
constexpr auto LONGEST_TIME =
    base::DurationRange { std::chrono::seconds(1), std::chrono::hours(2) };
constexpr auto USUAL_TIME = base::Duration(std::chrono::seconds(60));

auto count(base::ObjectReader &reader, std::string_view field, std::int64_t fallback)
    -> std::uint32_t
{
    return static_cast<std::uint32_t>(reader.integer(field, { 0, MOST }, fallback));
}

auto readTrainer(base::ObjectReader &reader, std::size_t number) -> load::TrainerPlan
{
    auto plan = load::TrainerPlan {};
    plan.name = reader.string("name", base::concat("trainer", number));
    plan.key = reader.string("key");
    plan.service = reader.string("service");
    plan.steps = count(reader, "steps", 1);
    plan.groups = count(reader, "groups", 1);
    plan.samplesPerGroup = count(reader, "samples_per_group", 1);
    plan.maxTokens = count(reader, "max_tokens", 1);
    plan.longEvery = count(reader, "long_every", 0);
    plan.longTokens = count(reader, "long_tokens", 0);
    plan.maxStaleness = count(reader, "max_staleness", 1);
    plan.weightsEveryMs = count(reader, "weights_every_ms", 0);
    plan.trainUsPerSample = count(reader, "train_us_per_sample", 0);
    plan.firstVersion = count(reader, "first_version", 1);
    plan.scoring = reader.string("scoring", "");
    return plan;
}

auto readOrders(base::ObjectReader &reader, std::size_t number) -> load::OrderPlan
{
    auto plan = load::OrderPlan {};
    plan.name = reader.string("name", base::concat("desk", number));
    plan.key = reader.string("key", "");
    plan.path = reader.string("path", "/orders");
    plan.count = count(reader, "count", 0);
    plan.perSecond = reader.number("per_second", 0.001, 1e6, 10);
    plan.idempotencyKeys = reader.boolean("idempotency_keys", false);
    plan.timeoutMs = count(reader, "timeout_ms", 10'000);
    return plan;
}

} // namespace

auto readSettings(const std::string &file) -> absl::StatusOr<TrainerSettings>
{
    const auto value = process::settings::readFile(file);
    if (!value.ok())
        return value.status();
    auto reader = base::ObjectReader(*value, file);
    auto settings = TrainerSettings {};
    settings.gateways = reader.strings("gateways");
    for (auto &nested : reader.objects("trainers")) {
        settings.trainers.push_back(readTrainer(nested, settings.trainers.size()));
        reader.absorb(nested);
    }
    for (auto &nested : reader.objects("orders")) {
        settings.orders.push_back(readOrders(nested, settings.orders.size()));
        reader.absorb(nested);
    }
    settings.seed = static_cast<std::uint64_t>(reader.integer("seed", { 0, MOST }, 1));
    settings.timeLimit = reader.duration("time_limit", LONGEST_TIME, USUAL_TIME);
    if (settings.gateways.empty())
        reader.fail("gateways", "must name one gateway at least");
    const auto problem = reader.finish();
    if (!problem.ok())
        return problem;
    return settings;
}

} // namespace nutmegplank::standins::trainer
