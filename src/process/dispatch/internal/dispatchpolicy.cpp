#include "process/dispatch/dispatchpolicy.h"

#include "base/text.h"

namespace nutmegplank::process::dispatch {

namespace {

constexpr auto QUEUE_BOUND_RANGE = base::IntegerRange { 1, 1'000'000 };
constexpr auto ANSWER_BYTES_RANGE =
    base::IntegerRange { 1024 * 1024, std::int64_t(64) * 1024 * 1024 * 1024 };
constexpr auto TIME_RANGE =
    base::DurationRange { std::chrono::milliseconds(10), std::chrono::minutes(5) };

template <typename Enum, std::size_t Size>
auto choice(base::ObjectReader &reader, std::string_view field,
            const base::EnumTable<Enum, Size> &names, Enum fallback) -> Enum
{
    const auto name = reader.string(field, base::nameOf(names, fallback));
    const auto value = base::valueOf(names, name);
    if (!value)
        reader.fail(field, base::concat("is unknown; allowed: ", base::allowedNames(names)));
    return value.value_or(fallback);
}

} // namespace

auto readDispatchPolicy(base::ObjectReader &reader) -> DispatchPolicy
{
    auto object = reader.object("policy");
    auto policy = DispatchPolicy();
    policy.queue = choice(object, "queue", request::queue::QUEUE_POLICY_NAMES, policy.queue);
    policy.limit = choice(object, "limit", request::limit::LIMIT_POLICY_NAMES, policy.limit);
    policy.placement =
        choice(object, "placement", request::placement::PLACEMENT_POLICY_NAMES, policy.placement);
    policy.earlyRefusal.enabled = object.boolean("early_refusal", policy.earlyRefusal.enabled);
    policy.queueBound = static_cast<std::size_t>(object.integer(
        "queue_bound", QUEUE_BOUND_RANGE, static_cast<std::int64_t>(policy.queueBound)));
    policy.probePeriod = object.duration("probe_period", TIME_RANGE, policy.probePeriod);
    policy.probeTimeout = object.duration("probe_timeout", TIME_RANGE, policy.probeTimeout);
    policy.progressTime = object.duration("progress_time", TIME_RANGE, policy.progressTime);
    policy.userTimeout = object.duration("user_timeout", TIME_RANGE, policy.userTimeout);
    policy.answerBytes = static_cast<std::uint64_t>(object.integer(
        "answer_bytes", ANSWER_BYTES_RANGE, static_cast<std::int64_t>(policy.answerBytes)));
    reader.absorb(object);
    return policy;
}

} // namespace nutmegplank::process::dispatch
