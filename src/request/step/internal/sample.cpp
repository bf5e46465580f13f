#include "request/step/internal/sample.h"

#include <algorithm>

#include <boost/json.hpp>

#include "base/status.h"
#include "base/text.h"

namespace nutmegplank::request::step {

namespace {

namespace json = boost::json;

constexpr auto SSE_DATA_PREFIX = std::string_view("data:");
constexpr auto SSE_DONE_DATA = std::string_view("[DONE]");

auto contradictoryStream(std::string_view message) -> absl::Status
{
    return base::makeError(absl::StatusCode::kDataLoss, message, { "step.sample", "" });
}

auto unsignedField(const json::object &object, std::string_view field)
    -> std::optional<std::uint64_t>
{
    const auto *value = object.if_contains({ field.data(), field.size() });
    if (value == nullptr || !(value->is_int64() || value->is_uint64()))
        return std::nullopt;
    if (value->is_int64() && value->get_int64() < 0)
        return std::nullopt;
    return value->to_number<std::uint64_t>();
}

auto appendRange(std::vector<TokenRange> &ranges, const TokenRange &range) -> void
{
    if (!ranges.empty() && ranges.back().weightVersion == range.weightVersion) {
        ranges.back().count += range.count;
        return;
    }
    ranges.push_back(range);
}

//! Parses the events of one stream in order.
class EventReader
{
public:
    auto read(std::string_view data) -> absl::Status
    {
        auto error = json::error_code();
        const auto value = json::parse({ data.data(), data.size() }, error);
        if (error || !value.is_object())
            return contradictoryStream("an event is no JSON object");
        if (m_ended)
            return contradictoryStream("an event after the last one");
        const auto &event = value.get_object();
        if (event.contains("done"))
            return readEnd(event);
        return readTokens(event);
    }

    auto finish(std::uint32_t expectedTokens) -> absl::StatusOr<Sample>
    {
        if (!m_ended)
            return contradictoryStream("the stream has no end");
        if (m_tokenCount != expectedTokens)
            return contradictoryStream("other token count than asked for");
        return std::move(m_sample);
    }

private:
    auto readTokens(const json::object &event) -> absl::Status
    {
        const auto *tokens = event.if_contains("tokens");
        const auto index = unsignedField(event, "index");
        const auto version = unsignedField(event, "weight_version");
        if (tokens == nullptr || !tokens->is_array() || !index)
            return contradictoryStream("an event without tokens");
        if (!version)
            return contradictoryStream("an event without a weight version");
        if (*index != m_tokenCount)
            return contradictoryStream("a gap between tokens");
        const auto count = static_cast<std::uint32_t>(tokens->get_array().size());
        if (count == 0)
            return absl::OkStatus();
        for (const auto &token : tokens->get_array()) {
            if (!token.is_string())
                return contradictoryStream("a token is no text");
            m_sample.text.append(token.get_string().data(), token.get_string().size());
        }
        appendRange(m_sample.ranges, TokenRange { *version, m_tokenCount, count });
        m_tokenCount += count;
        return absl::OkStatus();
    }

    auto readEnd(const json::object &event) -> absl::Status
    {
        m_ended = true;
        if (unsignedField(event, "generated_tokens") != m_tokenCount)
            return contradictoryStream("other token count than stated");
        return absl::OkStatus();
    }

    Sample m_sample;
    std::uint32_t m_tokenCount = 0;
    bool m_ended = false;
};

auto trim(std::string_view text) -> std::string_view
{
    const auto first = text.find_first_not_of(" \r\t");
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(" \r\t") - first + 1);
}

auto mergedRanges(const execution::RequestOutcome &outcome) -> std::vector<TokenRange>
{
    auto ranges = std::vector<TokenRange>();
    for (const auto &range : outcome.ranges)
        appendRange(
            ranges,
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

auto Sample::memoryBytes() const -> std::uint64_t
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
        if (!line.starts_with(SSE_DATA_PREFIX))
            continue;
        const auto data = trim(line.substr(SSE_DATA_PREFIX.size()));
        if (data == SSE_DONE_DATA)
            break;
        const auto status = reader.read(data);
        if (!status.ok())
            return status;
    }
    return reader.finish(expectedTokens);
}

auto makeSample(const execution::RequestOutcome &outcome, std::uint32_t expectedTokens)
    -> absl::StatusOr<Sample>
{
    auto sample = parseSample(outcome.body, expectedTokens);
    if (!sample.ok())
        return sample;
    const auto ranges = mergedRanges(outcome);
    if (!ranges.empty() && ranges != sample->ranges)
        return contradictoryStream("the dispatcher has read other ranges");
    return sample;
}

} // namespace nutmegplank::request::step
