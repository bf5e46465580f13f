#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "base/timepoint.h"
#include "version/state/iplatformlog.h"

//! Leases in the log: at most one process is in charge of a scope.
namespace nutmegplank::version::lease {

//! Times derived from the term, in one place.
struct LeaseTimes
{
    base::Duration
        term; //!< How long a claim or renewal holds, counted by its holder from before it was sent.
    base::Duration renewEvery; //!< term / 3.
    base::Duration
        claimAfter; //!< Term plus margin, counted by a claimant from when it read the renewal.
};

auto deriveLeaseTimes(base::Duration term) -> LeaseTimes;

//! One scope as this process takes part in it.
class ILease
{
public:
    virtual ~ILease() = default;

    //! The fencing number if this process is in charge at \a now. Ask it right before each write
    //! that carries an order, not earlier.
    virtual auto fencingNumber(base::TimePoint now) const -> std::optional<std::uint64_t> = 0;
    virtual auto scope() const -> const std::string & = 0;
    //! Gives the lease up in the log and stops taking part.
    virtual auto release() -> void = 0;
};

struct LeaseOptions
{
    std::string scope;
    std::string holder; //!< "member id#incarnation".
    base::Duration term = std::chrono::seconds(3);
    //! Whether this process should claim a free scope now; keeps claims spread (rendezvous rank).
    std::function<bool(base::TimePoint now)> preferred;
};

//! Takes part in one scope: claims when it is free, renews, reads back.
auto makeLease(boost::asio::io_context &context, state::IPlatformLog &log, LeaseOptions options)
    -> std::unique_ptr<ILease>;

} // namespace nutmegplank::version::lease
