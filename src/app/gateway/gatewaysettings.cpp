#include "app/gateway/gatewaysettings.h"

namespace nutmegplank::app::gateway {

namespace {

using namespace std::chrono_literals;

constexpr auto CONFIRM_RANGE = base::DurationRange { 100ms, 1min };
constexpr auto KEEP_RANGE = base::DurationRange { 100ms, 10min };
constexpr auto MEMORY_RANGE = base::DurationRange { 1s, 24h };
constexpr auto HOLD_RANGE = base::DurationRange { 1s, 24h };
constexpr auto WAIT_RANGE = base::DurationRange { 10ms, 1h };
constexpr auto HEADER_RANGE = base::IntegerRange { 1024, 1 << 20 };
constexpr auto BODY_RANGE = base::IntegerRange { 1024, 1 << 30 };
constexpr auto HELD_RANGE = base::IntegerRange { 1 << 20, std::int64_t(1) << 40 };
//! One body of the largest size fits in beside the part for small ones.
constexpr auto LEAST_HELD_SHARE = 1.25;
constexpr auto LEAST_HELD_BYTES = std::uint64_t(64 * 1024 * 1024);
//! By default several of the largest bodies fit in, beside the part for small ones.
constexpr auto LARGEST_BODIES_HELD = std::uint64_t(2);
constexpr auto CONNECTION_RANGE = base::IntegerRange { 1, 1 << 20 };
constexpr auto ATTEMPT_RANGE = base::IntegerRange { 1, 20 };
constexpr auto RESERVE_RANGE = base::IntegerRange { 0, 100'000 };

auto readLimits(base::ObjectReader &reader, GatewaySettings &settings) -> void
{
    auto &limits = settings.limits;
    auto fields = reader.object("limits");
    limits.headerBytes = static_cast<std::uint32_t>(
        fields.integer("header_bytes", HEADER_RANGE, limits.headerBytes));
    limits.bodyBytes = static_cast<std::uint64_t>(
        fields.integer("body_bytes", BODY_RANGE, static_cast<std::int64_t>(limits.bodyBytes)));
    const auto held = std::max(LEAST_HELD_BYTES, limits.bodyBytes * LARGEST_BODIES_HELD);
    settings.heldBytes = static_cast<std::uint64_t>(
        fields.integer("held_bytes", HELD_RANGE, static_cast<std::int64_t>(held)));
    if (static_cast<double>(settings.heldBytes)
        < static_cast<double>(limits.bodyBytes) * LEAST_HELD_SHARE)
        fields.fail("held_bytes", "must be at least 1.25 times body_bytes");
    limits.connections = static_cast<std::uint32_t>(
        fields.integer("connections", CONNECTION_RANGE, limits.connections));
    limits.headerTime = fields.duration("header_time", WAIT_RANGE, limits.headerTime);
    limits.bodyTime = fields.duration("body_time", WAIT_RANGE, limits.bodyTime);
    limits.idleTime = fields.duration("idle_time", WAIT_RANGE, limits.idleTime);
    limits.writeTime = fields.duration("write_time", WAIT_RANGE, limits.writeTime);
    reader.absorb(fields);
}

auto readTls(base::ObjectReader &reader) -> TlsSettings
{
    if (!reader.has("tls"))
        return {};
    auto fields = reader.object("tls");
    auto tls = TlsSettings { fields.string("certificate"), fields.string("key") };
    reader.absorb(fields);
    return tls;
}

auto readPolicy(base::ObjectReader &reader, GatewaySettings &settings) -> void
{
    auto fields = reader.object("policy");
    auto &runner = settings.runner;
    const auto shards = fields.string("shards", "aware");
    const auto policy = base::valueOf(request::execution::SHARD_POLICY_NAMES, shards);
    if (!policy.has_value())
        fields.fail("shards",
                    "is unknown; allowed: "
                        + base::allowedNames(request::execution::SHARD_POLICY_NAMES));
    runner.shardPolicy = policy.value_or(runner.shardPolicy);
    settings.stepHedging = fields.boolean("hedging", true);
    runner.hedging.enabled = fields.boolean("request_hedging", false);
    runner.hedging.delay = fields.duration("hedge_after", WAIT_RANGE, runner.hedging.delay);
    runner.retryShare = fields.number("retry_budget", 0, 1, runner.retryShare);
    runner.retryReserve = static_cast<double>(fields.integer(
        "retry_reserve", RESERVE_RANGE, static_cast<std::int64_t>(runner.retryReserve)));
    runner.retries.maxAttempts = static_cast<std::uint32_t>(
        fields.integer("most_attempts", ATTEMPT_RANGE, runner.retries.maxAttempts));
    runner.acceptTimeout = fields.duration("accept_time", WAIT_RANGE, runner.acceptTimeout);
    runner.cancelTimeout = fields.duration("cancel_time", WAIT_RANGE, runner.cancelTimeout);
    reader.absorb(fields);
}

} // namespace

auto readGatewaySettings(const std::string &path) -> absl::StatusOr<GatewaySettings>
{
    const auto value = process::settings::readFile(path);
    if (!value.ok())
        return value.status();
    auto reader = base::ObjectReader(*value, path);
    auto settings = GatewaySettings();
    settings.node = process::settings::readNode(reader);
    // All processes of a VM may share one file; the gateway has no use for the VM list.
    reader.string("vm_list", "");
    settings.confirmBound = reader.duration("confirm_bound", CONFIRM_RANGE, 4s);
    settings.addressKeep = reader.duration("address_keep", KEEP_RANGE, 2s);
    settings.idempotencyMemory = reader.duration("idempotency_memory", MEMORY_RANGE, 10min);
    settings.quarantineHold = reader.duration("quarantine_hold", HOLD_RANGE, 5min);
    settings.tls = readTls(reader);
    readLimits(reader, settings);
    readPolicy(reader, settings);
    if (settings.node.logService.empty())
        reader.fail("node.log_service", "must name the log service");
    const auto problem = reader.finish();
    if (!problem.ok())
        return problem;
    return settings;
}

} // namespace nutmegplank::app::gateway
