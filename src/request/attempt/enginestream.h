#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>

#include "connection/link/link.pb.h"

namespace nutmegplank::request::attempt {

//! Reads a model engine's stream of events as it comes, and checks it: token ranges without gap or
//! overlap, a weight version with each, and the end that says how many tokens there are. The weight
//! versions of an answer are known from here and nowhere else.
class EngineStream
{
public:
    //! \a firstToken is the position at which the stream must begin: after the tokens that a
    //! resumed request brings along.
    explicit EngineStream(std::uint32_t firstToken = 0)
        : m_nextToken(firstToken)
        , m_firstToken(firstToken)
    { }

    //! Takes the next bytes. An error means that the answer contradicts itself.
    auto feed(std::string_view bytes) -> absl::Status;
    //! Whether the answer is whole, asked once no more bytes come.
    auto finish() const -> absl::Status;

    auto ranges() const -> const std::vector<wire::VersionRange> & { return m_ranges; }
    auto promptTokens() const -> std::uint32_t { return m_promptTokens; }
    auto generatedTokens() const -> std::uint32_t { return m_nextToken - m_firstToken; }
    //! The newest weight version seen in the stream; 0 before the first tokens.
    auto weightVersion() const -> std::uint64_t;
    //! Tokens in events that feed() read last.
    auto lastTokens() const -> std::uint32_t { return m_lastTokens; }

private:
    auto readLine(std::string_view line) -> absl::Status;
    auto readTokens(const boost::json::object &event) -> absl::Status;
    auto readEnd(const boost::json::object &event) -> absl::Status;

    std::string m_rest; //!< Bytes of a line that has not ended.
    std::vector<wire::VersionRange> m_ranges;
    std::uint32_t m_nextToken;
    std::uint32_t m_firstToken;
    std::uint32_t m_promptTokens = 0;
    std::uint32_t m_lastTokens = 0;
    bool m_done = false;
};

//! Tokens that a completion request brings along to be resumed from; 0 for a new one.
auto resumedTokens(std::string_view body) -> std::uint32_t;

} // namespace nutmegplank::request::attempt
