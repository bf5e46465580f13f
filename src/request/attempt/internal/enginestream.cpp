#include "request/attempt/enginestream.h"

#include <boost/json.hpp>

#include "base/status.h"

namespace nutmegplank::request::attempt {

namespace {

namespace json = boost::json;

constexpr auto DATA_FIELD = std::string_view("data:");
constexpr auto END_MARKER = std::string_view("[DONE]");
constexpr auto MAX_LINE_BYTES = std::size_t(1024 * 1024);

auto makeStreamError(std::string_view message) -> absl::Status
{
    return base::makeError(absl::StatusCode::kDataLoss, message, { "attempt.stream", "" });
}

auto numberAt(const json::object &event, std::string_view field) -> std::optional<std::uint64_t>
{
    const auto *value = event.if_contains(field);
    if (value == nullptr || !value->is_number())
        return std::nullopt;
    auto error = json::error_code();
    const auto number = value->to_number<std::uint64_t>(error);
    return error ? std::nullopt : std::optional(number);
}

auto trim(std::string_view text) -> std::string_view
{
    while (!text.empty() && text.front() == ' ')
        text.remove_prefix(1);
    while (!text.empty() && text.back() == '\r')
        text.remove_suffix(1);
    return text;
}

} // namespace

auto EngineStream::feed(std::string_view bytes) -> absl::Status
{
    m_lastFeedTokens = 0;
    m_incompleteLine += bytes;
    auto begin = std::size_t(0);
    auto end = m_incompleteLine.find('\n');
    for (; end != std::string::npos; end = m_incompleteLine.find('\n', begin)) {
        const auto line = std::string_view(m_incompleteLine).substr(begin, end - begin);
        const auto status = readLine(trim(line));
        if (!status.ok())
            return status;
        begin = end + 1;
    }
    m_incompleteLine.erase(0, begin);
    return m_incompleteLine.size() > MAX_LINE_BYTES ? makeStreamError("an event is too long")
                                                    : absl::OkStatus();
}

auto EngineStream::readLine(std::string_view line) -> absl::Status
{
    if (!line.starts_with(DATA_FIELD))
        return absl::OkStatus();
    const auto data = trim(line.substr(DATA_FIELD.size()));
    if (data == END_MARKER)
        return m_totalsRead ? absl::OkStatus()
                            : makeStreamError("the stream ends without its totals");
    if (m_totalsRead)
        return makeStreamError("events after the end");
    auto error = json::error_code();
    const auto parsed = json::parse({ data.data(), data.size() }, error);
    if (error || !parsed.is_object())
        return makeStreamError("an event is no JSON object");
    const auto &event = parsed.get_object();
    const auto *done = event.if_contains("done");
    return done != nullptr && *done == true ? readTotals(event) : readTokens(event);
}

auto EngineStream::readTokens(const json::object &event) -> absl::Status
{
    const auto index = numberAt(event, "index");
    const auto version = numberAt(event, "weight_version");
    const auto *tokens = event.if_contains("tokens");
    if (!version || *version == 0)
        return makeStreamError("tokens without a weight version");
    if (!index || tokens == nullptr || !tokens->is_array())
        return makeStreamError("an event without tokens or their position");
    if (*index != m_nextToken)
        return makeStreamError("a gap or an overlap between token ranges");
    const auto count = static_cast<std::uint32_t>(tokens->get_array().size());
    if (count == 0)
        return absl::OkStatus();
    if (m_ranges.empty() || m_ranges.back().weight_version() != *version) {
        auto &range = m_ranges.emplace_back();
        range.set_weight_version(*version);
        range.set_first_token(m_nextToken);
    }
    m_ranges.back().set_token_count(m_ranges.back().token_count() + count);
    m_nextToken += count;
    m_lastFeedTokens += count;
    return absl::OkStatus();
}

auto EngineStream::readTotals(const json::object &event) -> absl::Status
{
    const auto generated = numberAt(event, "generated_tokens");
    if (!generated)
        return makeStreamError("totals without generated tokens");
    if (*generated != generatedTokens())
        return makeStreamError("totals that differ from the tokens that came");
    m_promptTokens = static_cast<std::uint32_t>(numberAt(event, "prompt_tokens").value_or(0));
    m_totalsRead = true;
    return absl::OkStatus();
}

auto EngineStream::finish() const -> absl::Status
{
    return m_totalsRead ? absl::OkStatus() : makeStreamError("the answer ended early");
}

auto EngineStream::weightVersion() const -> std::uint64_t
{
    return m_ranges.empty() ? 0 : m_ranges.back().weight_version();
}

auto resumedTokens(std::string_view body) -> std::uint32_t
{
    if (body.find("\"resume\"") == std::string_view::npos)
        return 0;
    auto error = json::error_code();
    const auto parsed = json::parse({ body.data(), body.size() }, error);
    if (error || !parsed.is_object())
        return 0;
    const auto *resume = parsed.get_object().if_contains("resume");
    if (resume == nullptr || !resume->is_object())
        return 0;
    const auto *ranges = resume->get_object().if_contains("ranges");
    if (ranges == nullptr || !ranges->is_array())
        return 0;
    auto tokens = std::uint64_t(0);
    for (const auto &range : ranges->get_array()) {
        if (range.is_object())
            tokens += numberAt(range.get_object(), "token_count").value_or(0);
    }
    return static_cast<std::uint32_t>(tokens);
}

} // namespace nutmegplank::request::attempt
