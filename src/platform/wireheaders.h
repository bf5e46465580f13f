#pragma once

//! Names of headers that the platform gives.
namespace nutmegplank::platform::wireheaders {

constexpr auto REQUEST_ID = "X-Request-Id";
constexpr auto DEADLINE = "X-Deadline-Ms"; //!< Milliseconds that its sender will wait.
constexpr auto STAMP = "X-Server-Stamp";   //!< A server's own mark on its answer.
constexpr auto WORKSPACE = "X-Tenant";
constexpr auto EXPECT_SERVER = "X-Expect-Instance";
constexpr auto NOT_RUN = "X-Not-Executed";
constexpr auto RETRY_AFTER = "Retry-After"; //!< Seconds, also fractions.
constexpr auto HOLDER = "X-Lease-Holder";
constexpr auto FENCE = "X-Fencing-Token";
constexpr auto WAIT = "X-Wait-Ms";
constexpr auto TOKEN_USAGE = "X-Token-Usage"; //!< "prompt tokens,most output tokens".
constexpr auto URGENCY = "X-Request-Priority";
constexpr auto WEIGHT_VERSION = "X-Weight-Versions"; //!< One number, in spite of its name.
constexpr auto EXPECT_VERSION = "X-Expect-Version";
constexpr auto LENGTH_HINT = "X-Length-Hint";
constexpr auto LAST_EVENT = "Last-Event-Id";

} // namespace nutmegplank::platform::wireheaders
