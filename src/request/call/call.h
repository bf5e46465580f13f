#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "base/enumtable.h"
#include "base/timepoint.h"
#include "connection/http/message.h"
#include "process/health/requestsize.h"
#include "version/batch/batch.h"
#include "version/routing/credential.h"

//! Calls and responses of the public API, independent of their wire format.
namespace nutmegplank::request::call {

enum class CallKind {
    Request, //!< Depending on its route, run at a backend server or stored as a batch.
    ReadResults,
    ReadBody,
    EndBatch,
};

constexpr auto CALL_KIND_NAMES = base::EnumTable<CallKind, 4> { {
    { CallKind::Request, "request" },
    { CallKind::ReadResults, "read_results" },
    { CallKind::ReadBody, "read_body" },
    { CallKind::EndBatch, "end_batch" },
} };

struct Call
{
    CallKind kind = CallKind::Request;
    std::string requestId;
    std::string host;
    std::string path; //!< Without the query string.
    version::routing::Credential credential;
    base::Duration timeLeft { 0 }; //!< How long the caller waits; 0 if it sets no limit.
    bool resumesStream = false;    //!< Takes up a stream after its last event.
    std::string streamBegunBy;     //!< Request id of the attempt that began it; empty if not named.
    process::health::RequestSize size;
    std::string batchId;
    std::string itemId;
    std::uint64_t position = 0; //!< Index of the first result to return.
    base::Duration wait { 0 };  //!< How long to wait for a result if there is none yet.
};

//! Why a call was refused. Each code maps to one HTTP status and tells whether the request may have
//! run.
enum class RefusalCode {
    NotReady, //!< No configuration has been loaded yet.
    NoRoute,
    UnknownKey,
    Malformed,
    TooLarge,         //!< No backend server has the memory for it. Not run, and never will be.
    NoServer,         //!< No backend server can take the request now.
    StoreUnavailable, //!< The store is unavailable; nothing can be stored now.
    Unsure,           //!< This process cannot tell whether the batch exists, or cannot read it.
    NoBatch,
    Unknown, //!< The request may have run or the batch may have been stored.
    Expired,
    CannotResume, //!< No backend server may go on with the stream.
    Quarantined,  //!< Quarantined because backend servers crash when they run it.
    Stopping,     //!< This process stops before the call could end; not run.
};

constexpr auto REFUSAL_CODE_NAMES = base::EnumTable<RefusalCode, 14> { {
    { RefusalCode::NotReady, "not_ready" },
    { RefusalCode::NoRoute, "no_route" },
    { RefusalCode::UnknownKey, "unknown_key" },
    { RefusalCode::Malformed, "malformed" },
    { RefusalCode::TooLarge, "too_large" },
    { RefusalCode::NoServer, "no_server" },
    { RefusalCode::StoreUnavailable, "store_away" },
    { RefusalCode::Unsure, "unsure" },
    { RefusalCode::NoBatch, "no_batch" },
    { RefusalCode::Unknown, "unknown" },
    { RefusalCode::Expired, "expired" },
    { RefusalCode::CannotResume, "cannot_resume" },
    { RefusalCode::Quarantined, "condemned" },
    { RefusalCode::Stopping, "stopping" },
} };

struct Refusal
{
    RefusalCode code = RefusalCode::NotReady;
    std::string detail;
    base::Duration retryAfter { 0 }; //!< When the caller may retry; 0 if not known.
};

//! Reads calls from HTTP requests and writes their HTTP responses.
class ICallProtocol
{
public:
    virtual ~ICallProtocol() = default;

    virtual auto readCall(const connection::http::Request &request) const -> Call = 0;
    //! Parses the batch in \a body; does not set its owner and submission time. Fails if the
    //! body is malformed.
    virtual auto readSubmission(const Call &call, const std::string &body) const
        -> absl::StatusOr<version::batch::Submission> = 0;
    //! \a results start at \a position in the results of a batch with \a total items.
    virtual auto writeResults(std::size_t total, std::uint64_t position,
                              std::vector<version::batch::Result> results) const
        -> connection::http::Response = 0;
    //! Maximum bytes of text in one response with results.
    virtual auto maxResultBytes() const -> std::size_t = 0;
    virtual auto writeRefusal(const Refusal &refusal, const std::string &requestId) const
        -> connection::http::Response = 0;
    //! Response to a batch that has been stored.
    virtual auto writeAccepted(const std::string &requestId) const
        -> connection::http::Response = 0;
    //! Whether \a response says that the batch \a requestId has been stored.
    virtual auto isAccepted(const connection::http::Response &response,
                            const std::string &requestId) const -> bool = 0;
    //! Returns \a request as sent to a backend server: without the caller's API key and connection
    //! headers.
    virtual auto toServerRequest(connection::http::Request request) const
        -> connection::http::Request = 0;
    //! Returns the response of a backend server as sent to the caller: without connection headers.
    virtual auto toCallerResponse(connection::http::Response response) const
        -> connection::http::Response = 0;
};

} // namespace nutmegplank::request::call
