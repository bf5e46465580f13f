#include "request/step/internal/stepspec.h"

#include <limits>
#include <set>

#include "base/hash.h"
#include "base/jsonreader.h"
#include "base/status.h"
#include "base/text.h"

namespace nutmegplank::request::step {

namespace {

constexpr auto MAX_SLOTS = std::uint64_t(65536);
constexpr auto MAX_TOKENS = std::int64_t(131072);
constexpr auto MAX_STALENESS_VERSIONS = std::int64_t(1'000'000);
constexpr auto MAX_WAIT_MS = std::int64_t(60'000);
constexpr auto MAX_NAME_LENGTH = std::size_t(128);
constexpr auto NON_NEGATIVE = base::IntegerRange { 0, std::numeric_limits<std::int64_t>::max() };

//! Names are parts of URL paths and slot names, so they can't contain a '/'.
auto isValidName(std::string_view text) -> bool
{
    const auto allowed = [](char character) {
        return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-'
            || character == '_' || character == '.';
    };
    return !text.empty() && text.size() <= MAX_NAME_LENGTH
        && std::all_of(text.begin(), text.end(), allowed);
}

auto readName(base::ObjectReader &reader, std::string_view field) -> std::string
{
    auto name = reader.string(field);
    if (!isValidName(name))
        reader.fail(field, "must be 1 to 128 letters, digits, '-', '_' or '.'");
    return name;
}

auto readGroup(base::ObjectReader &reader) -> GroupSpec
{
    auto group = GroupSpec {};
    group.name = readName(reader, "group");
    group.prompt = reader.string("prompt");
    group.samples = static_cast<std::uint32_t>(reader.integer("samples", { 1, MAX_SLOTS }));
    group.maxTokens = static_cast<std::uint32_t>(reader.integer("max_tokens", { 1, MAX_TOKENS }));
    group.seed = static_cast<std::uint64_t>(reader.integer("seed", NON_NEGATIVE, 0));
    return group;
}

auto readGroups(base::ObjectReader &reader) -> std::vector<GroupSpec>
{
    auto groups = std::vector<GroupSpec>();
    auto names = std::set<std::string>();
    auto slots = std::uint64_t(0);
    for (auto &nested : reader.objects("groups")) {
        groups.push_back(readGroup(nested));
        reader.absorb(nested);
        slots += groups.back().samples;
        if (!names.insert(groups.back().name).second)
            reader.fail("groups", "names a group twice");
    }
    if (slots == 0 || slots > MAX_SLOTS)
        reader.fail("groups", "must ask for 1 to 65536 samples in all");
    return groups;
}

} // namespace

auto parseStep(std::string_view body) -> absl::StatusOr<StepSpec>
{
    const auto value = base::parseJson(body);
    if (!value.ok())
        return value.status();
    auto reader = base::ObjectReader(*value, "step");
    auto spec = StepSpec {};
    spec.stepName = readName(reader, "step");
    spec.epoch = static_cast<std::uint64_t>(
        reader.integer("epoch", { 1, std::numeric_limits<std::int64_t>::max() }));
    spec.service = reader.string("service");
    spec.maxStaleness =
        static_cast<std::uint64_t>(reader.integer("max_staleness", { 0, MAX_STALENESS_VERSIONS }));
    spec.trainerVersion =
        static_cast<std::uint64_t>(reader.integer("trainer_version", NON_NEGATIVE, 0));
    spec.groups = readGroups(reader);
    if (reader.has("held"))
        spec.heldSlots = reader.strings("held");
    spec.scoringService = reader.string("scoring", "");
    const auto readStatus = reader.finish();
    if (!readStatus.ok())
        return readStatus;
    return spec;
}

auto parsePull(std::string_view body) -> absl::StatusOr<PullSpec>
{
    const auto value = base::parseJson(body);
    if (!value.ok())
        return value.status();
    auto reader = base::ObjectReader(*value, "pull");
    auto spec = PullSpec {};
    spec.epoch = static_cast<std::uint64_t>(reader.integer("epoch", NON_NEGATIVE));
    spec.trainerVersion =
        static_cast<std::uint64_t>(reader.integer("trainer_version", NON_NEGATIVE, 0));
    if (reader.has("acknowledge"))
        spec.acknowledgedSlots = reader.strings("acknowledge");
    spec.maxSamples = static_cast<std::uint32_t>(reader.integer("max", { 1, MAX_SLOTS }, 64));
    spec.waitMs = static_cast<std::uint32_t>(reader.integer("wait_ms", { 0, MAX_WAIT_MS }, 0));
    const auto readStatus = reader.finish();
    if (!readStatus.ok())
        return readStatus;
    return spec;
}

auto parseWeights(std::string_view body) -> absl::StatusOr<WeightsSpec>
{
    const auto value = base::parseJson(body);
    if (!value.ok())
        return value.status();
    auto reader = base::ObjectReader(*value, "weights");
    auto spec = WeightsSpec {};
    spec.model = reader.string("model");
    spec.version = static_cast<std::uint64_t>(
        reader.integer("version", { 1, std::numeric_limits<std::int64_t>::max() }));
    spec.source = reader.string("source");
    const auto readStatus = reader.finish();
    if (!readStatus.ok())
        return readStatus;
    return spec;
}

auto contentHash(const StepSpec &spec) -> std::uint64_t
{
    auto hash =
        base::hash64(base::concat(spec.service, "|", spec.scoringService, "|", spec.maxStaleness));
    for (const auto &group : spec.groups)
        hash = base::hash64(base::concat(group.name, "|", group.samples, "|", group.maxTokens, "|",
                                         group.seed, "|", group.prompt),
                            hash);
    return hash;
}

} // namespace nutmegplank::request::step
