#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "base/timepoint.h"
#include "version/state/iplatformlog.h"

//! Leases stored in the platform log: at most one process holds the lease of a scope at a time.
namespace nutmegplank::version::lease {

//! Timing of a lease, derived from its term.
struct LeaseTimes
{
    //! Validity of a claim or renewal, measured by its holder from before it was sent.
    base::Duration term;
    base::Duration renewEvery; //!< term / 3.
    //! Term plus a margin, measured by a claimant from when it read the last renewal.
    base::Duration claimAfter;
};

auto deriveLeaseTimes(base::Duration term) -> LeaseTimes;

//! This process's participation in the lease of one scope.
class ILease
{
public:
    virtual ~ILease() = default;

    //! The fencing number if this process holds the lease at \a now. Call it right before each
    //! write that carries an order, not earlier.
    virtual auto fencingNumber(base::TimePoint now) const -> std::optional<std::uint64_t> = 0;
    virtual auto scope() const -> const std::string & = 0;
    //! Appends a release to the log, if this process is the holder, and stops participating.
    virtual auto release() -> void = 0;
};

struct LeaseOptions
{
    std::string scope;
    std::string holder; //!< "member id#incarnation"; identifies this process.
    base::Duration term = std::chrono::seconds(3);
    //! Whether this process should claim a free scope now. Spreads the scopes over the processes
    //! (rendezvous hashing rank). If unset, it always claims.
    std::function<bool(base::TimePoint now)> preferred;
};

//! Participates in the lease of one scope: claims it when free, renews it and reads the records
//! back.
auto makeLease(boost::asio::io_context &context, state::IPlatformLog &log, LeaseOptions options)
    -> std::unique_ptr<ILease>;

} // namespace nutmegplank::version::lease
