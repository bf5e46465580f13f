#include "request/step/internal/sample.h"

#include <algorithm>

#include <boost/json.hpp>

#include "base/status.h"
#include "base/text.h"

namespace nutmegplank::request::step {

namespace {

namespace json = boost::json;

constexpr auto EVENT_MARK = std::string_view("data:");
constexpr auto END_MARK = std::string_view("[DONE]");

auto contradiction(std::string_view what) -> absl::Status
{
    return base::makeError(absl::StatusCode::kDataLoss, what, { "step.sample", "" });
}

auto wholeNumber(const json::object &object, std::string_view field) -> std::optional<std::uint64_t>
{
    const auto *value = object.if_contains({ field.data(), field.size() });
    if (value == nullptr || !(value->is_int64() || value->is_uint64()))
        return std::nullopt;
    if (value->is_int64() && value->get_int64() < 0)
        return std::nullopt;
    return value->to_number<std::uint64_t>();
}

auto addRange(std::vector<TokenRange> &ranges, const TokenRange &range) -> void
{
    if (!ranges.empty() && ranges.back().weightVersion == range.weightVersion) {
        ranges.back().count += range.count;
        return;
    }
    ranges.push_back(range);
}

//! Reads the events of one stream in a row.
class EventReader
{
public:
    auto read(std::string_view data) -> absl::Status
    {
        auto error = json::error_code();
        const auto value = json::parse({ data.data(), data.size() }, error);
        if (error || !value.is_object())
            return contradiction("an event is no JSON object");
        if (m_done)
            return contradiction("an event after the last one");
        const auto &event = value.get_object();
        if (event.contains("done"))
            return readEnd(event);
        return readTokens(event);
    }

    auto finish(std::uint32_t expectedTokens) -> absl::StatusOr<Sample>
    {
        if (!m_done)
            return contradiction("the stream has no end");
        if (m_count != expectedTokens)
            return contradiction("other token count than asked for");
        return std::move(m_sample);
    }

private:
    auto readTokens(const json::object &event) -> absl::Status
    {
        const auto *tokens = event.if_contains("tokens");
        const auto index = wholeNumber(event, "index");
        const auto version = wholeNumber(event, "weight_version");
        if (tokens == nullptr || !tokens->is_array() || !index)
            return contradiction("an event without tokens");
        if (!version)
            return contradiction("an event without a weight version");
        if (*index != m_count)
            return contradiction("a gap between tokens");
        const auto count = static_cast<std::uint32_t>(tokens->get_array().size());
        if (count == 0)
            return absl::OkStatus();
        for (const auto &token : tokens->get_array()) {
            if (!token.is_string())
                return contradiction("a token is no text");
            m_sample.text.append(token.get_string().data(), token.get_string().size());
        }
        addRange(m_sample.ranges, TokenRange { *version, m_count, count });
        m_count += count;
        return absl::OkStatus();
    }

    auto readEnd(const json::object &event) -> absl::Status
    {
        m_done = true;
        if (wholeNumber(event, "generated_tokens") != m_count)
            return contradiction("other token count than stated");
        return absl::OkStatus();
    }

    Sample m_sample;
    std::uint32_t m_count = 0;
    bool m_done = false;
};

auto trim(std::string_view text) -> std::string_view
{
    const auto first = text.find_first_not_of(" \r\t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \r\t") - first + 1);
}

auto rangesOf(const execution::RequestOutcome &outcome) -> std::vector<TokenRange>
{
    auto ranges = std::vector<TokenRange>();
    for (const auto &range : outcome.ranges)
        addRange(ranges,
                 TokenRange { range.weight_version(), range.first_token(), range.token_count() });
    return ranges;
}

} // namespace

auto Sample::oldestVersion() const -> std::uint64_t
{
    auto oldest = ranges.empty() ? std::uint64_t(0) : ranges.front().weightVersion;
    for (const auto &range : ranges)
        oldest = std::min(oldest, range.weightVersion);
    return oldest;
}

auto Sample::newestVersion() const -> std::uint64_t
{
    auto newest = std::uint64_t(0);
    for (const auto &range : ranges)
        newest = std::max(newest, range.weightVersion);
    return newest;
}

auto Sample::bytes() const -> std::uint64_t
{
    return text.size() + ranges.size() * sizeof(TokenRange);
}

auto parseSample(std::string_view events, std::uint32_t expectedTokens) -> absl::StatusOr<Sample>
{
    auto reader = EventReader();
    while (!events.empty()) {
        const auto end = std::min(events.find('\n'), events.size());
        const auto line = events.substr(0, end);
        events.remove_prefix(std::min(end + 1, events.size()));
        if (!line.starts_with(EVENT_MARK))
            continue;
        const auto data = trim(line.substr(EVENT_MARK.size()));
        if (data == END_MARK)
            break;
        const auto problem = reader.read(data);
        if (!problem.ok())
            return problem;
    }
    return reader.finish(expectedTokens);
}

auto sampleOf(const execution::RequestOutcome &outcome, std::uint32_t expectedTokens)
    -> absl::StatusOr<Sample>
{
    auto sample = parseSample(outcome.body, expectedTokens);
    if (!sample.ok())
        return sample;
    const auto ranges = rangesOf(outcome);
    if (!ranges.empty() && ranges != sample->ranges)
        return contradiction("the dispatcher has read other ranges");
    return sample;
}

} // namespace nutmegplank::request::step
