#pragma once

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/timepoint.h"
#include "connection/http/message.h"
#include "connection/link/link.pb.h"

//! Runs one request to its end: picks a shard, sends attempts, decides on retries. Used by the
//! forwarding of callers' requests and by the samples of steps.
namespace nutmegplank::request::execution {

//! What is to be run. Holds no key.
struct RequestSpec
{
    std::string requestId;
    std::string workspace;
    std::string service;
    wire::Priority priority = wire::PRIORITY_ORDER;
    base::TimePoint deadline {};
    std::string method = "POST";
    std::string target;
    connection::http::Headers headers;
    std::string body;
    bool idempotent = false;
    bool stream = false;
    std::uint32_t expectedTokens = 0;
    std::uint64_t minWeightVersion = 0;
    std::string prefixKey; //!< Equal for requests with a common prompt prefix; may be empty.
    std::vector<std::string> avoidServers;
};

//! A refusal or failure, as the caller hears it.
struct Refusal
{
    std::string code; //!< Stable, snake_case.
    wire::Ran ran = wire::RAN_UNKNOWN;
    std::uint32_t httpStatus = 503;
    std::string message;
    std::string step;
    std::string peer;
    std::uint32_t retryAfterMs = 0;
};

//! How a request ended.
struct RequestOutcome
{
    bool ok = false;
    Refusal refusal; //!< When not ok.
    std::uint32_t status = 0;
    connection::http::Headers headers;
    std::string body; //!< Empty when the parts went to onChunk.
    std::vector<wire::VersionRange> ranges;
    std::uint32_t promptTokens = 0;
    std::uint32_t generatedTokens = 0;
    std::uint32_t serverMilliseconds = 0; //!< Time that a backend server spent on it.
    std::string server;
    bool cheapServer = false;
};

//! Hooks of one run; all are optional.
struct RunHooks
{
    //! Status and headers of a streamed answer, before its first part.
    std::function<boost::asio::awaitable<absl::Status>(std::uint32_t status,
                                                       const connection::http::Headers &)>
        onHead;
    //! One part of a streamed answer. An error ends the run.
    std::function<boost::asio::awaitable<absl::Status>(std::string_view)> onChunk;
};

//! Cuts runs from outside; shared by the run and whoever may cut it.
class ICancellation
{
public:
    virtual ~ICancellation() = default;
    //! Ends the run as soon as possible with \a reason; safe from any thread.
    virtual auto cancel(Refusal reason) -> void = 0;
};

class IRequestRunner
{
public:
    virtual ~IRequestRunner() = default;

    //! A handle with which one run may be cut; pass it to run().
    virtual auto makeCancellation() -> std::shared_ptr<ICancellation> = 0;
    virtual auto run(RequestSpec spec, RunHooks hooks = {},
                     std::shared_ptr<ICancellation> cancellation = {})
        -> boost::asio::awaitable<RequestOutcome> = 0;
};

} // namespace nutmegplank::request::execution
