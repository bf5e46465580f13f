#pragma once

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "version/lease/ilease.h"
#include "version/state/iplatformlog.h"

//! Snapshots of the state in the log, so that records may expire.
namespace nutmegplank::version::state {

struct SnapshotWriterOptions
{
    std::uint64_t everyRecords = 2000;              //!< Well below what the log keeps.
    base::Duration every = std::chrono::minutes(1); //!< When fewer records come.
    base::Duration checkEvery = std::chrono::milliseconds(500);
};

//! Whether a snapshot is due; pure.
struct SnapshotSchedule
{
    std::uint64_t lastOffset = 0; //!< nextOffset after the last snapshot was written.
    base::TimePoint lastTime {};

    auto due(const SnapshotWriterOptions &options, std::uint64_t nextOffset,
             base::TimePoint now) const -> bool;
};

//! Writes snapshots while it lives and while its process holds the lease of scope "snapshot".
class ISnapshotWriter
{
public:
    virtual ~ISnapshotWriter() = default;
    //! Snapshots written in whole.
    virtual auto written() const -> std::uint64_t = 0;
};

//! \a log and \a lease must outlive the writer.
auto makeSnapshotWriter(boost::asio::io_context &context, IPlatformLog &log, lease::ILease &lease,
                        SnapshotWriterOptions options = {}) -> std::unique_ptr<ISnapshotWriter>;

} // namespace nutmegplank::version::state
