#pragma once

//! HTTP header names of the platform.
namespace nutmegplank::platform::wireheaders {

constexpr auto REQUEST_ID = "X-Request-Id";
constexpr auto DEADLINE = "X-Deadline-Ms"; //!< Time that the sender will wait, in milliseconds.
//! Marks a response as made by the backend server itself.
constexpr auto SERVER_STAMP = "X-Server-Stamp";
constexpr auto WORKSPACE = "X-Tenant"; //!< The platform calls a workspace a tenant.
//! Id of the only backend server that may run the request.
constexpr auto EXPECTED_SERVER = "X-Expect-Instance";
constexpr auto NOT_EXECUTED = "X-Not-Executed"; //!< Present if the server has not run the request.
//! Requests per second that the backend server takes from all machines together; may be a fraction.
constexpr auto SERVER_LIMIT = "Server-Limit";
//! "1" in all responses of a backend server that is about to end.
constexpr auto SERVER_LEAVING = "Server-Leaving";
constexpr auto RETRY_AFTER = "Retry-After"; //!< In seconds; may have a fraction.
constexpr auto LEASE_HOLDER = "X-Lease-Holder";
constexpr auto FENCING_TOKEN = "X-Fencing-Token";
//! How long to wait for a result if there is none yet, in milliseconds.
constexpr auto MAX_WAIT = "X-Wait-Ms";
constexpr auto TOKEN_USAGE = "X-Token-Usage";           //!< "prompt tokens,maximum output tokens".
constexpr auto REQUEST_PRIORITY = "X-Request-Priority"; //!< 0 is the most urgent.
constexpr auto WEIGHT_VERSION = "X-Weight-Versions";    //!< A single number, despite the plural.
constexpr auto EXPECTED_WEIGHT_VERSION = "X-Expect-Version";
constexpr auto LENGTH_HINT = "X-Length-Hint";   //!< Expected number of output tokens.
constexpr auto LAST_EVENT_ID = "Last-Event-Id"; //!< Resume the stream after this event.

//! Id of the caller's attempt that began the stream which the request takes up again.
constexpr auto RESUMES = "Resumes";

} // namespace nutmegplank::platform::wireheaders
