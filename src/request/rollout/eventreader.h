#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegplank::request::rollout {

//! One event of a model engine's stream.
struct Event
{
    std::uint64_t id = 0;
    std::string data;
    std::optional<std::uint64_t> weightVersion; //!< Set where the version changes.
};

//! Cuts a text/event-stream into events as bytes arrive. An event counts once its blank line is in.
class EventReader
{
public:
    //! \a versionField is the name of the field that carries a change of the weight version.
    explicit EventReader(std::string versionField)
        : m_versionField(std::move(versionField))
    { }

    //! Events that are complete with \a bytes. Nothing when the stream is malformed.
    auto feed(std::string_view bytes) -> std::optional<std::vector<Event>>;
    //! Whether the stream stands between two events.
    auto atBoundary() const -> bool { return m_rest.empty() && !m_open; }

private:
    auto readLine(std::string_view line) -> bool;

    std::string m_versionField;
    std::string m_rest; //!< Bytes of a line that has not ended.
    Event m_event;
    bool m_open = false; //!< A field of m_event has been read.
    bool m_hasId = false;
    bool m_hasData = false;
};

} // namespace nutmegplank::request::rollout
