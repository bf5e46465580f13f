#pragma once

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "version/lease/ilease.h"
#include "version/state/iplatformlog.h"

//! Writes snapshots of the state into the log, so that older records may expire.
namespace nutmegplank::version::state {

struct SnapshotWriterOptions
{
    //! Well below the number of records that the log retains. Not smaller, because every process
    //! reads every chunk of a snapshot.
    std::uint64_t maxRecordsBetweenSnapshots = 10'000;
    base::Duration maxInterval = std::chrono::minutes(10); //!< If fewer records are written.
    base::Duration checkInterval = std::chrono::milliseconds(500);
};

//! Decides whether a snapshot is due. Has no side effects.
struct SnapshotSchedule
{
    std::uint64_t lastOffset = 0; //!< LogState::nextOffset after the last snapshot.
    base::TimePoint lastTime {};

    auto isDue(const SnapshotWriterOptions &options, std::uint64_t nextOffset,
               base::TimePoint now) const -> bool;
};

//! Writes snapshots during its lifetime, while its process holds the lease of scope "snapshot".
class ISnapshotWriter
{
public:
    virtual ~ISnapshotWriter() = default;
    //! Number of snapshots written completely.
    virtual auto snapshotsWritten() const -> std::uint64_t = 0;
};

//! \a log and \a lease must outlive the writer.
auto makeSnapshotWriter(boost::asio::io_context &context, IPlatformLog &log, lease::ILease &lease,
                        SnapshotWriterOptions options = {}) -> std::unique_ptr<ISnapshotWriter>;

} // namespace nutmegplank::version::state
