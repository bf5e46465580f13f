#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>

#include "connection/link/link.pb.h"

namespace nutmegplank::request::attempt {

//! Incremental parser of a model engine's server-sent events. Checks that token ranges have no gaps
//! or overlaps, that each event has a weight version, and that the final totals match the tokens
//! received. The weight versions in an AttemptOutcome come only from here.
class EngineStream
{
public:
    //! \a firstToken is the index at which the stream must begin: 0, or the number of tokens that a
    //! resumed request already contains.
    explicit EngineStream(std::uint32_t firstToken = 0)
        : m_nextToken(firstToken)
        , m_firstToken(firstToken)
    { }

    //! Parses the next bytes. Returns kDataLoss if the stream is malformed or inconsistent.
    auto feed(std::string_view bytes) -> absl::Status;
    //! To be called at the end of the stream. Returns kDataLoss if the totals are missing.
    auto finish() const -> absl::Status;

    auto ranges() const -> const std::vector<wire::VersionRange> & { return m_ranges; }
    auto promptTokens() const -> std::uint32_t { return m_promptTokens; }
    auto generatedTokens() const -> std::uint32_t { return m_nextToken - m_firstToken; }
    //! Weight version of the latest tokens; 0 before the first ones.
    auto weightVersion() const -> std::uint64_t;
    //! Number of tokens in the events that the last call of feed() parsed.
    auto lastFeedTokens() const -> std::uint32_t { return m_lastFeedTokens; }

private:
    auto readLine(std::string_view line) -> absl::Status;
    auto readTokens(const boost::json::object &event) -> absl::Status;
    auto readTotals(const boost::json::object &event) -> absl::Status;

    std::string m_incompleteLine; //!< Bytes after the last line break.
    std::vector<wire::VersionRange> m_ranges;
    std::uint32_t m_nextToken;
    std::uint32_t m_firstToken;
    std::uint32_t m_promptTokens = 0;
    std::uint32_t m_lastFeedTokens = 0;
    bool m_totalsRead = false;
};

//! Number of tokens that a resumed completion request already contains; 0 for a new request or an
//! invalid \a body.
auto resumedTokens(std::string_view body) -> std::uint32_t;

} // namespace nutmegplank::request::attempt
