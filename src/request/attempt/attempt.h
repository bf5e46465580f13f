#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "connection/backend/backendpool.h"
#include "connection/link/link.pb.h"
#include "process/memory/bytebudget.h"

//! Sends one request to one backend server once.
namespace nutmegplank::request::attempt {

//! How an attempt ended. On failure, ran tells reliably whether the request may have run.
struct AttemptOutcome
{
    wire::FailureCode failure = wire::FAILURE_NONE;
    wire::Ran ran = wire::RAN_NOT_RUN;
    std::string message;
    std::string step;               //!< Processing step that failed.
    std::uint32_t retryAfterMs = 0; //!< Requested by a refusing server; 0 if it requested none.
    //! The connection broke or timed out. Only a probe can tell whether the server died.
    bool connectionLost = false;

    std::uint32_t status = 0;
    connection::http::Headers headers;
    std::string body; //!< Empty if the parts were passed to onPart.
    std::uint32_t partCount = 0;
    std::vector<wire::VersionRange> ranges; //!< Weight versions of the generated tokens.
    std::uint32_t promptTokens = 0;
    std::uint32_t generatedTokens = 0;
    base::Duration serverTime {}; //!< From sending the request to the end of the answer.
};

//! Callbacks of a running attempt; all must be set.
struct AttemptHooks
{
    std::function<base::TimePoint()> now; //!< Clock of the attempt.
    //! Called immediately before the first byte of the request is written.
    std::function<void()> onStarted;
    //! Value of the X-Boot-Id header of the answer; empty if it has none.
    std::function<void(const std::string &bootId)> onBootId;
    //! Time until the head of an answer, or time per token of an engine's stream.
    std::function<void(base::Duration latency)> onLatency;
    //! Weight version of the latest tokens.
    std::function<void(std::uint64_t version)> onWeightVersion;
    //! A part of the body of a streamed answer, numbered from 0. An error ends the attempt.
    std::function<boost::asio::awaitable<absl::Status>(
        std::uint32_t sequence, const connection::http::Response &head, std::string data)>
        onPart;
};

//! Request and time limits of an attempt.
struct AttemptSpec
{
    connection::http::Request request;
    bool idempotent = false;
    bool stream = false; //!< Pass the body to onPart instead of buffering it.
    bool engine = false; //!< The backend server is a model engine.
    base::TimePoint deadline {};
    base::Duration progressTime = std::chrono::seconds(5); //!< Maximum gap in an engine's answer.
    //! What the buffered answers of all attempts may hold together while they are read; null for no
    //! common limit.
    std::shared_ptr<process::memory::ByteBudget> answerBytes;
};

//! Runs one attempt. All calls must be made on the strand of the pool.
class Attempt
{
public:
    Attempt(AttemptSpec spec, AttemptHooks hooks)
        : m_spec(std::move(spec))
        , m_hooks(std::move(hooks))
    { }

    auto run(connection::backend::BackendPool &pool) -> boost::asio::awaitable<AttemptOutcome>;
    //! Closes the connection and ends the attempt with the failure \a code. Only the first call
    //! counts.
    auto abort(wire::FailureCode code, std::string message) -> void;
    //! Whether a byte of the request may have been written.
    auto started() const -> bool { return m_started; }

private:
    auto makeFailure(wire::FailureCode code, const absl::Status &status) const -> AttemptOutcome;
    auto makeConnectionFailure(const absl::Status &status) const -> AttemptOutcome;
    auto remainingTime() const -> base::Duration;
    auto ioTimeout() const -> base::Duration;
    auto exchange(connection::http::IHttpConnection &connection)
        -> boost::asio::awaitable<AttemptOutcome>;
    auto readServerRefusal(connection::http::IHttpConnection &connection,
                           connection::http::Response head)
        -> boost::asio::awaitable<AttemptOutcome>;
    auto readAnswer(connection::http::IHttpConnection &connection, connection::http::Response head)
        -> boost::asio::awaitable<AttemptOutcome>;

    AttemptSpec m_spec;
    AttemptHooks m_hooks;
    connection::backend::ConnectionPtr m_connection;
    wire::FailureCode m_abortCode = wire::FAILURE_NONE;
    std::string m_abortMessage;
    bool m_started = false;
};

} // namespace nutmegplank::request::attempt
