#pragma once

#include <functional>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>

#include "process/capacity/iplatformduties.h"
#include "process/clock/truetime.h"
#include "process/metrics/metrics.h"
#include "version/journal/follower.h"
#include "version/metering/windowmeter.h"

namespace nutmegplank::app::node {

//! What the usage duty works with; all of it outlives the duty.
struct UsageDutyParts
{
    boost::asio::io_context &context;
    version::journal::IJournal &journal;
    process::capacity::IPlatformDuties &duties;
    process::clock::TrueTime &trueTime;
    process::metrics::Registry &metrics;
    std::string process;      //!< Unique name of this incarnation.
    base::Duration window {}; //!< Length of a usage window.
    //! The fencing number while this process is in charge.
    std::function<std::optional<std::uint64_t>(base::TimePoint now)> fence;
    //! The platform has seen a higher number than this one.
    std::function<void(std::uint64_t fence)> onRefused;
};

//! Counts requests by workspace and window in the log, and, on the machine in charge, closes the
//! windows there and reports them to the platform. A window is reported with the figures that the
//! log closed it with, so that two holders can't report different ones.
class UsageDuty
{
public:
    explicit UsageDuty(UsageDutyParts parts);

    auto start() -> void;
    //! A request of \a workspace has begun to run; empty if it belongs to none and is in no report.
    auto countRun(const std::string &workspace) -> void;

private:
    auto countLoop() -> boost::asio::awaitable<void>;
    auto recordOneByOne(std::vector<record::MeterRecord> records) -> boost::asio::awaitable<void>;
    auto dutyLoop() -> boost::asio::awaitable<void>;
    auto closeWindows(std::uint64_t fence) -> boost::asio::awaitable<std::uint64_t>;
    auto waitForPosition(std::uint64_t offset) -> boost::asio::awaitable<void>;
    auto reportWindows() -> boost::asio::awaitable<void>;
    auto report(const version::metering::ClosedWindow &window, std::uint64_t fence)
        -> boost::asio::awaitable<process::capacity::DutyOutcome>;

    UsageDutyParts m_parts;
    version::metering::LocalMeter m_local;
    version::metering::MeterLog m_log;
    version::journal::Follower m_follower;
    std::set<std::uint64_t> m_reported; //!< Windows that the platform took from this process.
    process::metrics::Counter &m_windows;
};

} // namespace nutmegplank::app::node
