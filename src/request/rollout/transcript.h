#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "request/rollout/eventreader.h"
#include "request/rollout/textlimit.h"

namespace nutmegplank::request::rollout {

//! Constraints on the weight versions that generate an item.
struct TranscriptRules
{
    std::uint64_t minVersion = 0; //!< Oldest weight version allowed.
    bool singleVersion = false;   //!< All events must come from the same weight version.
};

enum class AppendResult {
    Appended,
    Gap,           //!< The event id is not the successor of the last one.
    NoVersion,     //!< Neither the response head nor an event has named the weight version.
    OldVersion,    //!< The weights are older than allowed.
    MixedVersions, //!< The version differs from earlier events where a single one is required.
    TooLarge,      //!< More events or bytes than the item may have.
};

//! The generated text of an item, possibly from several runs, and the weight versions that
//! generated it.
class Transcript
{
public:
    explicit Transcript(TranscriptRules rules, TextLimit limit = {})
        : m_rules(rules)
        , m_limit(limit)
    { }

    //! Starts a run, or resumes after the last event, with \a version if the engine reported one.
    //! \a software is the software version of the engine; empty if not known.
    auto beginRun(std::optional<std::uint64_t> version, const std::string &software) -> void;
    auto append(const Event &event) -> AppendResult;
    //! Discards the text, so that the next run starts from the beginning.
    auto reset() -> void;

    //! Replaces the contents with the progress that an earlier lease holder stored.
    auto restore(std::uint64_t lastId, std::uint32_t events, std::string text,
                 std::vector<std::uint64_t> versions, std::string software) -> void;

    auto empty() const -> bool { return m_events == 0; }
    auto eventCount() const -> std::uint32_t { return m_events; }
    auto lastId() const -> std::uint64_t { return m_lastId; }
    auto limit() const -> const TextLimit & { return m_limit; }
    auto text() const -> const std::string & { return m_text; }
    //! In the order of the first event that each generated.
    auto versions() const -> const std::vector<std::uint64_t> & { return m_versions; }
    //! Software version of the engine that began the text; empty if not known. Only engines of the
    //! same version may resume it.
    auto software() const -> const std::string & { return m_software; }

private:
    TranscriptRules m_rules;
    TextLimit m_limit;
    std::optional<std::uint64_t> m_version; //!< Last reported in the current run.
    std::uint64_t m_lastId = 0;
    std::uint32_t m_events = 0;
    std::string m_text;
    std::string m_software;
    std::vector<std::uint64_t> m_versions;
};

} // namespace nutmegplank::request::rollout
