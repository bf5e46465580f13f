#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "connection/backend/backendpool.h"
#include "connection/link/link.pb.h"

//! One attempt of one request at one backend server.
namespace nutmegplank::request::attempt {

//! How an attempt ended. A failure says truly whether the request may have run.
struct AttemptOutcome
{
    wire::FailureCode failure = wire::FAILURE_NONE;
    wire::Ran ran = wire::RAN_NOT_RUN;
    std::string message;
    std::string step;
    std::uint32_t retryAfterMs = 0;
    //! The connection broke or went silent; whether the server died is for a probe to tell.
    bool connectionLost = false;

    std::uint32_t status = 0;
    connection::http::Headers headers;
    std::string body; //!< Empty when the parts went to onPart.
    std::uint32_t partCount = 0;
    std::vector<wire::VersionRange> ranges;
    std::uint32_t promptTokens = 0;
    std::uint32_t generatedTokens = 0;
    base::Duration serverTime {};
};

//! What an attempt tells while it runs; all hooks are needed.
struct AttemptHooks
{
    std::function<base::TimePoint()> now;
    //! Right before the first byte of the request is written.
    std::function<void()> onStarted;
    //! The boot id that the server named in its answer.
    std::function<void(const std::string &bootId)> onBootId;
    //! Latency of one answer, or of one batch step of an engine.
    std::function<void(base::Duration latency)> onLatency;
    //! Weight version of tokens that came.
    std::function<void(std::uint64_t version)> onWeightVersion;
    //! A part of a streamed answer; head is given with part 0. An error ends the attempt.
    std::function<boost::asio::awaitable<absl::Status>(
        std::uint32_t sequence, const connection::http::Response &head, std::string data)>
        onPart;
};

//! What is sent, and how long it may take.
struct AttemptSpec
{
    connection::http::Request request;
    bool idempotent = false;
    bool stream = false;
    bool engine = false;
    base::TimePoint deadline {};
    base::Duration progressTime = std::chrono::seconds(5); //!< Between two parts of an answer.
};

//! Runs one attempt; all calls on the strand of the pool.
class Attempt
{
public:
    Attempt(AttemptSpec spec, AttemptHooks hooks)
        : m_spec(std::move(spec))
        , m_hooks(std::move(hooks))
    { }

    auto run(connection::backend::BackendPool &pool) -> boost::asio::awaitable<AttemptOutcome>;
    //! Ends the attempt as soon as possible, with \a code as its outcome.
    auto cut(wire::FailureCode code, std::string message) -> void;
    //! Whether a byte of the request may have been written.
    auto started() const -> bool { return m_started; }

private:
    auto failed(wire::FailureCode code, const absl::Status &status) const -> AttemptOutcome;
    auto failedByConnection(const absl::Status &status) const -> AttemptOutcome;
    auto left() const -> base::Duration;
    auto patience() const -> base::Duration;
    auto exchange(connection::http::IHttpConnection &connection)
        -> boost::asio::awaitable<AttemptOutcome>;
    auto refusedByServer(connection::http::IHttpConnection &connection,
                         connection::http::Response head) -> boost::asio::awaitable<AttemptOutcome>;
    auto readAnswer(connection::http::IHttpConnection &connection, connection::http::Response head)
        -> boost::asio::awaitable<AttemptOutcome>;

    AttemptSpec m_spec;
    AttemptHooks m_hooks;
    connection::backend::ConnectionPtr m_connection;
    wire::FailureCode m_cutCode = wire::FAILURE_NONE;
    std::string m_cutMessage;
    bool m_started = false;
};

} // namespace nutmegplank::request::attempt
