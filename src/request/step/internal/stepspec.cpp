#include "request/step/internal/stepspec.h"

#include <limits>
#include <set>

#include "base/hash.h"
#include "base/jsonreader.h"
#include "base/status.h"
#include "base/text.h"

namespace nutmegplank::request::step {

namespace {

constexpr auto MOST_SLOTS = std::uint64_t(65536);
constexpr auto MOST_TOKENS = std::int64_t(131072);
constexpr auto MOST_STALENESS = std::int64_t(1'000'000);
constexpr auto MOST_WAIT_MS = std::int64_t(60'000);
constexpr auto LONGEST_NAME = std::size_t(128);
constexpr auto ANY_NUMBER = base::IntegerRange { 0, std::numeric_limits<std::int64_t>::max() };

//! Names stand in paths and slot names, so they hold no separator.
auto isName(std::string_view text) -> bool
{
    const auto allowed = [](char letter) {
        return std::isalnum(static_cast<unsigned char>(letter)) != 0 || letter == '-'
            || letter == '_' || letter == '.';
    };
    return !text.empty() && text.size() <= LONGEST_NAME
        && std::all_of(text.begin(), text.end(), allowed);
}

auto readName(base::ObjectReader &reader, std::string_view field) -> std::string
{
    auto name = reader.string(field);
    if (!isName(name))
        reader.fail(field, "must be 1 to 128 letters, digits, '-', '_' or '.'");
    return name;
}

auto readGroup(base::ObjectReader &reader) -> GroupSpec
{
    auto group = GroupSpec {};
    group.name = readName(reader, "group");
    group.prompt = reader.string("prompt");
    group.samples = static_cast<std::uint32_t>(reader.integer("samples", { 1, MOST_SLOTS }));
    group.maxTokens = static_cast<std::uint32_t>(reader.integer("max_tokens", { 1, MOST_TOKENS }));
    group.seed = static_cast<std::uint64_t>(reader.integer("seed", ANY_NUMBER, 0));
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
    if (slots == 0 || slots > MOST_SLOTS)
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
    spec.step = readName(reader, "step");
    spec.epoch = static_cast<std::uint64_t>(
        reader.integer("epoch", { 1, std::numeric_limits<std::int64_t>::max() }));
    spec.service = reader.string("service");
    spec.maxStaleness =
        static_cast<std::uint64_t>(reader.integer("max_staleness", { 0, MOST_STALENESS }));
    spec.trainerVersion =
        static_cast<std::uint64_t>(reader.integer("trainer_version", ANY_NUMBER, 0));
    spec.groups = readGroups(reader);
    if (reader.has("held"))
        spec.held = reader.strings("held");
    spec.scoring = reader.string("scoring", "");
    const auto problem = reader.finish();
    if (!problem.ok())
        return problem;
    return spec;
}

auto parsePull(std::string_view body) -> absl::StatusOr<PullSpec>
{
    const auto value = base::parseJson(body);
    if (!value.ok())
        return value.status();
    auto reader = base::ObjectReader(*value, "pull");
    auto spec = PullSpec {};
    spec.epoch = static_cast<std::uint64_t>(reader.integer("epoch", ANY_NUMBER));
    spec.trainerVersion =
        static_cast<std::uint64_t>(reader.integer("trainer_version", ANY_NUMBER, 0));
    if (reader.has("acknowledge"))
        spec.acknowledge = reader.strings("acknowledge");
    spec.max = static_cast<std::uint32_t>(reader.integer("max", { 1, MOST_SLOTS }, 64));
    spec.waitMs = static_cast<std::uint32_t>(reader.integer("wait_ms", { 0, MOST_WAIT_MS }, 0));
    const auto problem = reader.finish();
    if (!problem.ok())
        return problem;
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
    const auto problem = reader.finish();
    if (!problem.ok())
        return problem;
    return spec;
}

auto contentHash(const StepSpec &spec) -> std::uint64_t
{
    auto hash = base::hash64(base::concat(spec.service, "|", spec.scoring, "|", spec.maxStaleness));
    for (const auto &group : spec.groups)
        hash = base::hash64(base::concat(group.name, "|", group.samples, "|", group.maxTokens, "|",
                                         group.seed, "|", group.prompt),
                            hash);
    return hash;
}

} // namespace nutmegplank::request::step
