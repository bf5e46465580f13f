#include "base/jsonreader.h"

#include <charconv>

#include <boost/json.hpp>

#include "base/text.h"

namespace nutmegplank::base {

namespace {

struct Unit
{
    std::string_view suffix;
    std::int64_t microseconds;
};

constexpr auto UNITS = std::array<Unit, 4> { {
    { "ms", 1'000 },
    { "s", 1'000'000 },
    { "m", 60'000'000 },
    { "h", 3'600'000'000 },
} };

auto formatDuration(Duration duration) -> std::string
{
    return base::concat(toMilliseconds(duration), "ms");
}

auto positionOf(std::string_view text, std::size_t offset) -> std::string
{
    auto line = std::size_t(1);
    auto column = std::size_t(1);
    for (auto index = std::size_t(0); index < std::min(offset, text.size()); ++index) {
        column = text[index] == '\n' ? 1 : column + 1;
        line += text[index] == '\n' ? 1 : 0;
    }
    return base::concat("line ", line, ", column ", column);
}

} // namespace

auto parseJson(std::string_view text) -> absl::StatusOr<boost::json::value>
{
    auto options = boost::json::parse_options();
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    auto parser = boost::json::stream_parser(boost::json::storage_ptr(), options);
    auto error = boost::json::error_code();
    const auto consumed = parser.write_some(text.data(), text.size(), error);
    if (error)
        return absl::InvalidArgumentError(
            base::concat(positionOf(text, consumed), ": ", error.message()));
    parser.finish(error);
    if (error)
        return absl::InvalidArgumentError(base::concat("end of text: ", error.message()));
    if (text.find_first_not_of(" \t\r\n", consumed) != std::string_view::npos)
        return absl::InvalidArgumentError(
            base::concat(positionOf(text, consumed), ": text after the end of the JSON value"));
    return parser.release();
}

auto parseDuration(std::string_view text) -> absl::StatusOr<Duration>
{
    auto amount = std::int64_t(0);
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), amount);
    const auto suffix = std::string_view(parsed.ptr, text.data() + text.size() - parsed.ptr);
    for (const auto &unit : UNITS) {
        const auto longest = std::numeric_limits<std::int64_t>::max() / unit.microseconds;
        if (parsed.ec == std::errc() && suffix == unit.suffix && amount >= 0 && amount <= longest)
            return Duration(amount * unit.microseconds);
    }
    return absl::InvalidArgumentError(base::concat(
        "\"", std::string(text), "\" is no duration; allowed: a whole number with ms, s, m or h"));
}

ObjectReader::ObjectReader(const boost::json::value &value, std::string place)
    : m_value(value)
    , m_place(std::move(place))
{
    if (!m_value.is_object())
        m_problem = absl::InvalidArgumentError(base::concat(m_place, ": must be a JSON object"));
}

auto ObjectReader::pathOf(std::string_view field) const -> std::string
{
    return base::concat(m_place, ": field \"", std::string(field), "\"");
}

auto ObjectReader::fail(std::string_view field, std::string_view problem) -> void
{
    if (m_problem.ok())
        m_problem =
            absl::InvalidArgumentError(base::concat(pathOf(field), " ", std::string(problem)));
}

auto ObjectReader::find(std::string_view field, bool required) -> const boost::json::value *
{
    m_known.emplace(field);
    if (!m_value.is_object())
        return nullptr;
    const auto *found = m_value.as_object().if_contains(field);
    if (found == nullptr && required)
        fail(field, "is missing");
    return found;
}

auto ObjectReader::has(std::string_view field) const -> bool
{
    return m_value.is_object() && m_value.as_object().contains(field);
}

auto ObjectReader::string(std::string_view field) -> std::string
{
    const auto *found = find(field, true);
    if (found == nullptr)
        return {};
    if (!found->is_string() || found->as_string().empty()) {
        fail(field, "must be a text that is not empty");
        return {};
    }
    return std::string(found->as_string());
}

auto ObjectReader::string(std::string_view field, std::string_view fallback) -> std::string
{
    const auto *found = find(field, false);
    if (found == nullptr)
        return std::string(fallback);
    if (!found->is_string()) {
        fail(field, "must be a text");
        return std::string(fallback);
    }
    return std::string(found->as_string());
}

auto ObjectReader::integer(std::string_view field, IntegerRange range) -> std::int64_t
{
    if (find(field, true) == nullptr)
        return range.lowest;
    return integer(field, range, range.lowest);
}

auto ObjectReader::integer(std::string_view field, IntegerRange range, std::int64_t fallback)
    -> std::int64_t
{
    const auto *found = find(field, false);
    if (found == nullptr)
        return fallback;
    auto error = boost::json::error_code();
    const auto value = found->is_number() ? found->to_number<std::int64_t>(error) : std::int64_t(0);
    if (!found->is_number() || error || value < range.lowest || value > range.highest) {
        fail(field,
             base::concat("must be a whole number from ", range.lowest, " to ", range.highest));
        return fallback;
    }
    return value;
}

auto ObjectReader::number(std::string_view field, double lowest, double highest, double fallback)
    -> double
{
    const auto *found = find(field, false);
    if (found == nullptr)
        return fallback;
    auto error = boost::json::error_code();
    const auto value = found->is_number() ? found->to_number<double>(error) : 0.0;
    if (!found->is_number() || error || value < lowest || value > highest) {
        fail(field, base::concat("must be a number from ", lowest, " to ", highest));
        return fallback;
    }
    return value;
}

auto ObjectReader::boolean(std::string_view field, bool fallback) -> bool
{
    const auto *found = find(field, false);
    if (found == nullptr)
        return fallback;
    if (!found->is_bool()) {
        fail(field, "must be true or false");
        return fallback;
    }
    return found->as_bool();
}

auto ObjectReader::duration(std::string_view field, DurationRange range, Duration fallback)
    -> Duration
{
    const auto *found = find(field, false);
    if (found == nullptr)
        return fallback;
    const auto parsed = found->is_string()
        ? parseDuration(std::string_view(found->as_string()))
        : absl::StatusOr<Duration>(absl::InvalidArgumentError(
            "must be a text such as \"250ms\", \"5s\", \"2m\" or \"1h\""));
    if (!parsed.ok()) {
        fail(field, base::concat("is wrong: ", std::string(parsed.status().message())));
        return fallback;
    }
    if (*parsed < range.shortest || *parsed > range.longest) {
        fail(field,
             base::concat("must be from ", formatDuration(range.shortest), " to ",
                          formatDuration(range.longest)));
        return fallback;
    }
    return *parsed;
}

auto ObjectReader::strings(std::string_view field) -> std::vector<std::string>
{
    auto texts = std::vector<std::string>();
    const auto *found = find(field, false);
    if (found == nullptr)
        return texts;
    if (!found->is_array()) {
        fail(field, "must be an array of texts");
        return texts;
    }
    for (const auto &element : found->as_array()) {
        if (!element.is_string()) {
            fail(field, "must hold texts only");
            return texts;
        }
        texts.emplace_back(element.as_string());
    }
    return texts;
}

auto ObjectReader::objects(std::string_view field) -> std::vector<ObjectReader>
{
    auto readers = std::vector<ObjectReader>();
    const auto *found = find(field, false);
    if (found == nullptr)
        return readers;
    if (!found->is_array()) {
        fail(field, "must be an array of objects");
        return readers;
    }
    for (const auto &element : found->as_array())
        readers.emplace_back(
            element, base::concat(m_place, ": ", std::string(field), "[", readers.size(), "]"));
    return readers;
}

auto ObjectReader::object(std::string_view field) -> ObjectReader
{
    const auto *found = find(field, false);
    const auto value = found == nullptr ? boost::json::value(boost::json::object()) : *found;
    return ObjectReader(value, base::concat(m_place, ": ", std::string(field)));
}

auto ObjectReader::raw(std::string_view field) -> boost::json::value
{
    const auto *found = find(field, false);
    return found == nullptr ? boost::json::value() : *found;
}

auto ObjectReader::absorb(ObjectReader &nested) -> void
{
    const auto status = nested.finish();
    if (m_problem.ok())
        m_problem = status;
}

auto ObjectReader::finish() -> absl::Status
{
    if (!m_problem.ok())
        return m_problem;
    for (const auto &entry : m_value.as_object()) {
        const auto name = std::string_view(entry.key());
        if (m_known.contains(name))
            continue;
        auto allowed = std::string();
        for (const auto &known : m_known)
            allowed += base::concat(allowed.empty() ? "" : ", ", known);
        fail(name, base::concat("is unknown; allowed: ", allowed));
        break;
    }
    return m_problem;
}

} // namespace nutmegplank::base
