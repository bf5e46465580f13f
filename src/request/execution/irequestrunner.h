#pragma once

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/timepoint.h"
#include "connection/http/message.h"
#include "connection/link/link.pb.h"

//! Runs one request to completion: chooses a shard, sends attempts to dispatchers and decides on
//! retries. Used to forward callers' requests and to generate the samples of steps.
namespace nutmegplank::request::execution {

//! A request to run. Holds no API key.
struct RequestSpec
{
    std::string requestId;
    std::string workspace;
    std::string service;
    wire::Priority priority = wire::PRIORITY_ORDER; //!< Default: a caller's own request.
    base::TimePoint deadline {};
    std::string method = "POST";
    std::string target;
    connection::http::Headers headers;
    std::string body;
    bool idempotent = false; //!< May be sent again after it may have run.
    bool stream = false;
    std::uint32_t expectedTokens = 0;   //!< 0: unknown.
    std::uint64_t minWeightVersion = 0; //!< Oldest acceptable weights; 0: any.
    std::string prefixKey; //!< Equal for requests with a common prompt prefix; may be empty.
    std::vector<std::string> avoidServers; //!< Ids of backend servers.
};

//! A refusal or failure as reported to the caller.
struct Refusal
{
    std::string code; //!< Stable, snake_case.
    wire::Ran ran = wire::RAN_UNKNOWN;
    std::uint32_t httpStatus = 503;
    std::string message;
    std::string step; //!< Processing step that failed, for instance "attempt.send".
    std::string peer; //!< The other process involved, if any.
    std::uint32_t retryAfterMs = 0;
};

//! How a request ended.
struct RequestOutcome
{
    bool ok = false;
    Refusal refusal; //!< Set only if not ok.
    std::uint32_t status = 0;
    connection::http::Headers headers;
    std::string body;                       //!< Empty if the chunks went to onChunk.
    std::vector<wire::VersionRange> ranges; //!< Weight version by range of generated tokens.
    std::uint32_t promptTokens = 0;
    std::uint32_t generatedTokens = 0;
    std::uint32_t serverMilliseconds = 0; //!< Processing time on the backend server.
    std::string server;
    bool cheapServer = false; //!< The server is preemptible: it may be reclaimed at any time.
};

//! Callbacks of one run; all are optional.
struct RunHooks
{
    //! Receives status and headers of a streamed response before its first chunk. An error ends the
    //! run.
    std::function<boost::asio::awaitable<absl::Status>(std::uint32_t status,
                                                       const connection::http::Headers &)>
        onHead;
    //! Receives one chunk of a streamed response. An error ends the run.
    std::function<boost::asio::awaitable<absl::Status>(std::string_view)> onChunk;
};

//! Cancels a run; shared by the run and the code that may cancel it.
class ICancellation
{
public:
    virtual ~ICancellation() = default;
    //! Ends the run as soon as possible with \a reason. Only the first reason counts. Thread-safe.
    virtual auto cancel(Refusal reason) -> void = 0;
};

class IRequestRunner
{
public:
    virtual ~IRequestRunner() = default;

    //! Creates a handle to cancel one run; pass it to run().
    virtual auto makeCancellation() -> std::shared_ptr<ICancellation> = 0;
    virtual auto run(RequestSpec spec, RunHooks hooks = {},
                     std::shared_ptr<ICancellation> cancellation = {})
        -> boost::asio::awaitable<RequestOutcome> = 0;
};

} // namespace nutmegplank::request::execution
