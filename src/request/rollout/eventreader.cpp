#include "request/rollout/eventreader.h"

#include <charconv>

#include "base/utf8.h"

namespace nutmegplank::request::rollout {

namespace {

auto parseNumber(std::string_view text) -> std::optional<std::uint64_t>
{
    auto number = std::uint64_t(0);
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

} // namespace

auto EventReader::feed(std::string_view bytes) -> std::optional<std::vector<Event>>
{
    m_pendingBytes += bytes;
    auto events = std::vector<Event>();
    auto begin = std::size_t(0);
    for (auto end = m_pendingBytes.find('\n'); end != std::string::npos;
         end = m_pendingBytes.find('\n', begin)) {
        auto line = std::string_view(m_pendingBytes).substr(begin, end - begin);
        begin = end + 1;
        m_eventBytes += line.size();
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (!line.empty()) {
            if (!parseLine(line))
                return std::nullopt;
            continue;
        }
        m_eventBytes = 0;
        if (!m_inEvent)
            continue;
        if (!isComplete())
            return std::nullopt;
        events.push_back(std::move(m_event));
        m_event = {};
        m_inEvent = m_hasId = m_hasData = false;
    }
    m_pendingBytes.erase(0, begin);
    if (m_pendingBytes.size() + m_eventBytes > m_maxEventBytes) {
        m_tooLarge = true;
        m_problem = "an event is too large";
        return std::nullopt;
    }
    return events;
}

//! Whether the event whose terminating blank line was read can be used.
auto EventReader::isComplete() -> bool
{
    if (!m_hasId)
        m_problem = "an event has no id";
    // text/event-stream is UTF-8, and callers get the data as JSON.
    else if (!base::isUtf8(m_event.data))
        m_problem = "the data of an event is not UTF-8";
    return m_problem.empty();
}

auto EventReader::parseLine(std::string_view line) -> bool
{
    const auto colon = line.find(':');
    if (colon == 0)
        return true;
    const auto name = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    m_inEvent = true;
    if (name == "data") {
        if (m_hasData)
            m_event.data += '\n';
        m_event.data += value;
        m_hasData = true;
        return true;
    }
    if (name == "id") {
        const auto id = parseNumber(value);
        m_event.id = id.value_or(0);
        m_hasId = id.has_value();
        if (!m_hasId)
            m_problem = "the id of an event is not a number";
        return m_hasId;
    }
    if (name == m_versionField) {
        m_event.weightVersion = parseNumber(value);
        if (!m_event.weightVersion.has_value())
            m_problem = "the weight version of an event is not a number";
        return m_event.weightVersion.has_value();
    }
    return true;
}

} // namespace nutmegplank::request::rollout
