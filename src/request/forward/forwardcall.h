#pragma once

#include <cstdint>
#include <string>

#include "base/enumtable.h"
#include "base/timepoint.h"
#include "connection/http/message.h"
#include "process/health/requestsize.h"
#include "process/memory/heldbytes.h"
#include "version/routing/routingtable.h"

namespace nutmegplank::request::forward {

//! A caller's request to be sent to a backend server.
struct ForwardCall
{
    connection::http::Request request; //!< Without the caller's key and hop-by-hop headers.
    std::string requestId;
    process::health::RequestSize size;
    version::routing::Owner caller;
    version::routing::Route route;
    bool resumesStream = false;  //!< Takes up a stream after its last event.
    std::string streamBegunBy;   //!< Request id of the attempt that began it; empty if not named.
    std::string software;        //!< Only servers of this version may get it; empty: all.
    bool originRecorded = false; //!< The software version that begins the stream is in the log.
    base::TimePoint deadline {}; //!< The earlier of the caller's deadline and the route's timeout.
};

enum class ForwardOutcome {
    Answered,     //!< A backend server answered.
    NotRun,       //!< No server has run the request, and none will.
    Unknown,      //!< The request may have run; its answer is lost.
    Expired,      //!< The deadline has passed; the request may have run.
    Quarantined,  //!< Not sent, because the request has crashed too many servers.
    CannotResume, //!< Not sent, as no server may go on with the stream.
    CallerGone,
};

constexpr auto FORWARD_OUTCOME_NAMES = base::EnumTable<ForwardOutcome, 7> { {
    { ForwardOutcome::Answered, "answered" },
    { ForwardOutcome::NotRun, "not_run" },
    { ForwardOutcome::Unknown, "unknown" },
    { ForwardOutcome::Expired, "expired" },
    { ForwardOutcome::Quarantined, "condemned" },
    { ForwardOutcome::CannotResume, "cannot_resume" },
    { ForwardOutcome::CallerGone, "caller_gone" },
} };

struct ForwardResult
{
    ForwardOutcome end = ForwardOutcome::NotRun;
    connection::http::Response response; //!< Only when Answered; without a body when streamed.
    process::memory::HeldBytes held;     //!< The bytes of the body.
    bool streamed = false;               //!< The body was written to the sink.
    bool complete = true;                //!< False when a streamed body was cut off.
    std::string detail;
    std::uint32_t attempts = 0;
    std::string server; //!< Id of the server of the last attempt.
    //! Only when NotRun: time until a server's limit lets this machine send to it, or until the log
    //! may be back; 0 if neither is the cause.
    base::Duration retryAfter { 0 };
};

} // namespace nutmegplank::request::forward
