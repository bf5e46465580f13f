#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegplank::request::rollout {

//! One server-sent event of a model engine.
struct Event
{
    std::uint64_t id = 0;
    std::string data;
    std::optional<std::uint64_t> weightVersion; //!< Set where the version changes.
};

//! Incremental parser of a text/event-stream. An event is complete once its terminating blank line
//! has been read.
class EventReader
{
public:
    //! Largest event in bytes, with all its lines, unless another limit is given. Events hold a
    //! few KB of text; an engine in trouble may send one without end.
    static constexpr auto MAX_EVENT_BYTES = std::size_t(256 * 1024);

    //! \a versionField is the name of the field that announces a change of the weight version.
    explicit EventReader(std::string versionField, std::size_t maxEventBytes = MAX_EVENT_BYTES)
        : m_versionField(std::move(versionField))
        , m_maxEventBytes(maxEventBytes)
    { }

    //! Appends \a bytes and returns the events that they complete; nullopt if the stream is
    //! malformed.
    auto feed(std::string_view bytes) -> std::optional<std::vector<Event>>;
    //! Whether all bytes read so far belong to complete events.
    auto atBoundary() const -> bool { return m_pendingBytes.empty() && !m_inEvent; }
    //! Why the stream is malformed; empty as long as it is not.
    auto problem() const -> std::string_view { return m_problem; }
    //! Whether the problem is the size of an event.
    auto tooLarge() const -> bool { return m_tooLarge; }

private:
    auto parseLine(std::string_view line) -> bool;
    auto isComplete() -> bool;

    std::string m_versionField;
    std::size_t m_maxEventBytes;
    std::string_view m_problem;
    std::size_t m_eventBytes = 0; //!< Bytes of the lines of m_event.
    std::string m_pendingBytes;   //!< Start of a line whose end has not been read.
    Event m_event;
    bool m_inEvent = false; //!< At least one field of m_event has been read.
    bool m_hasId = false;
    bool m_hasData = false;
    bool m_tooLarge = false;
};

} // namespace nutmegplank::request::rollout
