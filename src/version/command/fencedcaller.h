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

//! Orders to peers outside the product, sent only while this process is in charge.
namespace nutmegplank::version::command {

//! Times of orders, derived from the lease term in one place.
struct FencedTimes
{
    base::Duration userTimeout;   //!< TCP_USER_TIMEOUT: the longest life of unacknowledged bytes.
    base::Duration callTimeout;   //!< For one whole exchange.
    base::Duration waitChecked;   //!< After taking a lease, before the first order to a peer that
                                  //!< refuses old fencing numbers.
    base::Duration waitUnchecked; //!< The same for a peer that takes any fencing number.
};

auto deriveFencedTimes(base::Duration term) -> FencedTimes;

//! Who is called.
struct FencedPeer
{
    std::string endpoint; //!< "address:port".
    bool checksFencing = false;
};

//! Makes a request that carries the fencing number.
using FencedRequest = std::function<connection::http::Request(std::uint64_t fencingNumber)>;

//! The one place from which orders leave. The lease is looked at directly before the bytes are
//! written; a kernel may deliver them later, which TCP_USER_TIMEOUT bounds, and which a new holder
//! outwaits before its own first order.
class FencedCaller
{
public:
    //! \a lease must outlive the caller.
    FencedCaller(const lease::ILease &lease, FencedTimes times);

    //! The fencing number when this process is in charge; also notes since when. Call it often.
    auto observe(base::TimePoint now) -> std::optional<std::uint64_t>;
    //! Whether orders may leave: in charge, and bytes of an earlier holder can no longer arrive.
    auto mayCall(base::TimePoint now, bool checksFencing) -> bool;
    //! One exchange on a connection of its own. FailedPrecondition when not in charge: nothing was
    //! written then. After any other error the peer may have acted.
    auto call(FencedPeer peer, FencedRequest build)
        -> boost::asio::awaitable<absl::StatusOr<connection::http::Response>>;
    auto scope() const -> const std::string & { return m_lease.scope(); }

private:
    const lease::ILease &m_lease;
    FencedTimes m_times;
    std::mutex m_mutex;
    std::optional<std::uint64_t> m_number;
    base::TimePoint m_since {};
};

} // namespace nutmegplank::version::command
