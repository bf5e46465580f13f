#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "base/enumtable.h"
#include "base/timepoint.h"
#include "connection/http/message.h"
#include "version/batch/batch.h"

//! What callers ask for, apart from its spelling.
namespace nutmegplank::request::call {

enum class CallKind {
    Request, //!< To be run at a backend server, or a batch to be kept, as its route says.
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
    std::string path;              //!< Without the query.
    std::string key;               //!< As presented; never logged.
    base::Duration timeLeft { 0 }; //!< How long the caller waits; 0 when it does not say.
    std::string batchId;
    std::string itemId;
    std::uint64_t position = 0; //!< Of the first result wanted.
    base::Duration wait { 0 };  //!< For a result, when there is none yet.
};

//! Why a call was refused. Each code has one status and says whether anything has run.
enum class RefusalCode {
    NotReady, //!< No configuration is known yet.
    NoRoute,
    UnknownKey,
    Malformed,
    NoServer,  //!< No server may get it now.
    StoreAway, //!< Nothing can be kept now.
    Unsure,    //!< This machine cannot tell whether the batch exists.
    NoBatch,
    Unknown, //!< It may have run, or may have been kept.
    Expired,
    Condemned, //!< Backend servers crash under it.
};

constexpr auto REFUSAL_CODE_NAMES = base::EnumTable<RefusalCode, 11> { {
    { RefusalCode::NotReady, "not_ready" },
    { RefusalCode::NoRoute, "no_route" },
    { RefusalCode::UnknownKey, "unknown_key" },
    { RefusalCode::Malformed, "malformed" },
    { RefusalCode::NoServer, "no_server" },
    { RefusalCode::StoreAway, "store_away" },
    { RefusalCode::Unsure, "unsure" },
    { RefusalCode::NoBatch, "no_batch" },
    { RefusalCode::Unknown, "unknown" },
    { RefusalCode::Expired, "expired" },
    { RefusalCode::Condemned, "condemned" },
} };

struct Refusal
{
    RefusalCode code = RefusalCode::NotReady;
    std::string detail;
    base::Duration retryAfter { 0 }; //!< When the caller may come again; 0 says nothing.
};

class ICallProtocol
{
public:
    virtual ~ICallProtocol() = default;

    virtual auto readCall(const connection::http::Request &request) const -> Call = 0;
    //! The batch in the body of \a call; its workspace and time of submission are not set.
    virtual auto readSubmission(const Call &call, const std::string &body) const
        -> absl::StatusOr<version::batch::Submission> = 0;
    //! \a results stand at \a position and after it, of a batch of \a total items.
    virtual auto writeResults(std::size_t total, std::uint64_t position,
                              std::vector<version::batch::Result> results) const
        -> connection::http::Response = 0;
    //! Bytes of text that one answer with results may hold.
    virtual auto mostResultBytes() const -> std::size_t = 0;
    virtual auto writeRefusal(const Refusal &refusal, const std::string &requestId) const
        -> connection::http::Response = 0;
    //! The batch is kept.
    virtual auto writeAccepted(const std::string &requestId) const
        -> connection::http::Response = 0;
    //! Without the caller's key and what belongs to its connection.
    virtual auto forwardable(connection::http::Request request) const
        -> connection::http::Request = 0;
    //! A server's answer as its caller gets it.
    virtual auto returnable(connection::http::Response response) const
        -> connection::http::Response = 0;
};

} // namespace nutmegplank::request::call
