#pragma once

#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include "base/timepoint.h"
#include "connection/http/message.h"
#include "version/lease/ilease.h"

//! Commands to peers outside the product, sent only while this process holds the lease.
namespace nutmegplank::version::command {

//! Time limits of commands, derived from the lease term.
struct FencedTimes
{
    base::Duration userTimeout;   //!< TCP_USER_TIMEOUT: maximum lifetime of unacknowledged bytes.
    base::Duration callTimeout;   //!< For each step of a call: connect, send, and each read.
    base::Duration waitChecked;   //!< From taking the lease to the first command to a peer that
                                  //!< rejects old fencing numbers.
    base::Duration waitUnchecked; //!< The same for a peer that accepts any fencing number.
};

auto deriveFencedTimes(base::Duration term) -> FencedTimes;

struct FencedPeer
{
    std::string endpoint; //!< "address:port".
    bool checksFencing = false;
};

//! Builds a request that carries the fencing number.
using FencedRequest = std::function<connection::http::Request(std::uint64_t fencingNumber)>;

//! Sends all commands. The lease is checked directly before the bytes are written. The kernel may
//! still deliver them later; TCP_USER_TIMEOUT limits this delay, and a new lease holder waits
//! longer than that before its first command.
class FencedCaller
{
public:
    //! \a lease must outlive the caller.
    FencedCaller(const lease::ILease &lease, FencedTimes times);

    //! Returns the fencing number if this process holds the lease, and records when the number
    //! changed. Call it often, because the waiting times count from the first call that sees it.
    auto observe(base::TimePoint now) -> std::optional<std::uint64_t>;
    //! Whether commands may be sent: this process holds the lease, and bytes of an earlier holder
    //! can no longer arrive.
    auto mayCall(base::TimePoint now, bool checksFencing) -> bool;
    //! Sends one request on a new connection and reads the response. FailedPrecondition means that
    //! this process does not hold the lease and nothing was written. After any other error the peer
    //! may have executed the command.
    auto call(FencedPeer peer, FencedRequest build)
        -> boost::asio::awaitable<absl::StatusOr<connection::http::Response>>;
    auto scope() const -> const std::string & { return m_lease.scope(); }

private:
    const lease::ILease &m_lease;
    FencedTimes m_times;
    std::mutex m_mutex;
    std::optional<std::uint64_t> m_fencingNumber;
    base::TimePoint m_numberSince {};
};

} // namespace nutmegplank::version::command
