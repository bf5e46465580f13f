#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "request/rollout/eventreader.h"

namespace nutmegplank::request::rollout {

//! What the text of an item must keep to.
struct TranscriptRules
{
    std::uint64_t minVersion = 0; //!< Oldest weights allowed.
    bool singleVersion = false;   //!< All events by the same weights.
};

enum class AppendVerdict {
    Taken,
    Gap,        //!< The event does not follow the last one.
    NoVersion,  //!< Nothing says which weights made the event.
    OldVersion, //!< Weights older than allowed.
    Mixed,      //!< Another version than that of the earlier events, where one is asked for.
};

//! The text of one item as it grows, over several runs if need be, and the weight versions that
//! truly made it.
class Transcript
{
public:
    explicit Transcript(TranscriptRules rules)
        : m_rules(rules)
    { }

    //! A run begins (or goes on after the last event) under \a version, if the engine told it.
    auto beginRun(std::optional<std::uint64_t> version) -> void { m_version = version; }
    auto append(const Event &event) -> AppendVerdict;
    //! Forgets the text: the next run starts from the beginning.
    auto reset() -> void;

    //! Takes over what an earlier holder has kept of the text.
    auto restore(std::uint64_t lastId, std::uint32_t events, std::string text,
                 std::vector<std::uint64_t> versions) -> void;

    auto empty() const -> bool { return m_events == 0; }
    auto eventCount() const -> std::uint32_t { return m_events; }
    auto lastId() const -> std::uint64_t { return m_lastId; }
    auto text() const -> const std::string & { return m_text; }
    //! In the order in which they first made an event.
    auto versions() const -> const std::vector<std::uint64_t> & { return m_versions; }

private:
    TranscriptRules m_rules;
    std::optional<std::uint64_t> m_version;
    std::uint64_t m_lastId = 0;
    std::uint32_t m_events = 0;
    std::string m_text;
    std::vector<std::uint64_t> m_versions;
};

} // namespace nutmegplank::request::rollout
