#include "version/state/records.h"

#include <boost/json.hpp>

#include "version/state/internal/recordreader.h"

namespace nutmegplank::version::state {

namespace {

namespace json = boost::json;

template <typename Value>
auto arrayOf(const std::vector<Value> &values) -> json::array
{
    auto array = json::array();
    for (const auto &value : values)
        array.emplace_back(toJson(value));
    return array;
}

} // namespace

auto toJson(const UsageFigure &figure) -> json::object
{
    return { { "workspace", figure.workspace },
             { "service", figure.service },
             { "requests", figure.requests },
             { "prompt_tokens", figure.promptTokens },
             { "generated_tokens", figure.generatedTokens },
             { "server_milliseconds", figure.serverMilliseconds } };
}

auto toJson(const std::vector<UsageFigure> &figures) -> json::array
{
    return arrayOf(figures);
}

auto toJson(const UsageMark &mark) -> json::object
{
    return { { "process", mark.process }, { "counted", toJson(mark.counted) } };
}

auto toJson(const std::vector<UsageMark> &marks) -> json::array
{
    return arrayOf(marks);
}

auto toJson(const PlanTarget &target) -> json::object
{
    return { { "service", target.service },
             { "zone", target.zone },
             { "dear", target.ordinary },
             { "cheap", target.cheap } };
}

auto toJson(const std::vector<PlanTarget> &targets) -> json::array
{
    return arrayOf(targets);
}

auto readUsageFigures(base::ObjectReader &reader, std::string_view field)
    -> std::vector<UsageFigure>
{
    auto figures = std::vector<UsageFigure>();
    for (auto &nested : reader.objects(field)) {
        auto figure = UsageFigure();
        figure.workspace = nested.string("workspace", "");
        figure.service = nested.string("service", "");
        figure.requests = readNumber(nested, "requests", 0);
        figure.promptTokens = readNumber(nested, "prompt_tokens", 0);
        figure.generatedTokens = readNumber(nested, "generated_tokens", 0);
        figure.serverMilliseconds = readNumber(nested, "server_milliseconds", 0);
        reader.absorb(nested);
        figures.push_back(std::move(figure));
    }
    return figures;
}

auto readUsageMarks(base::ObjectReader &reader, std::string_view field) -> std::vector<UsageMark>
{
    auto marks = std::vector<UsageMark>();
    for (auto &nested : reader.objects(field)) {
        auto mark = UsageMark();
        mark.process = nested.string("process");
        mark.counted = readUsageFigures(nested, "counted");
        reader.absorb(nested);
        marks.push_back(std::move(mark));
    }
    return marks;
}

auto readPlanTargets(base::ObjectReader &reader, std::string_view field) -> std::vector<PlanTarget>
{
    auto targets = std::vector<PlanTarget>();
    for (auto &nested : reader.objects(field)) {
        auto target = PlanTarget();
        target.service = nested.string("service");
        target.zone = nested.string("zone");
        // "dear" counts the ordinary backend servers, those that are not cheap.
        target.ordinary = static_cast<std::uint32_t>(readNumber(nested, "dear", 0));
        target.cheap = static_cast<std::uint32_t>(readNumber(nested, "cheap", 0));
        reader.absorb(nested);
        targets.push_back(std::move(target));
    }
    return targets;
}

auto readNumber(base::ObjectReader &reader, std::string_view field) -> std::uint64_t
{
    return static_cast<std::uint64_t>(reader.integer(field, NON_NEGATIVE));
}

auto readNumber(base::ObjectReader &reader, std::string_view field, std::uint64_t fallback)
    -> std::uint64_t
{
    return static_cast<std::uint64_t>(
        reader.integer(field, NON_NEGATIVE, static_cast<std::int64_t>(fallback)));
}

auto recordReader(const json::object &body) -> base::ObjectReader
{
    auto reader = base::ObjectReader(body, "record");
    for (const auto &field : body)
        reader.raw(field.key());
    return reader;
}

} // namespace nutmegplank::version::state
