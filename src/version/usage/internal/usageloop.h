#pragma once

#include <atomic>
#include <set>

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "version/usage/usagerunner.h"

namespace nutmegplank::version::usage {

//! The log record that closes a window.
auto makeWindowRecord(const WindowContent &content, std::uint64_t fencingNumber)
    -> boost::json::object;
//! The request that reports a closed window to the platform.
auto makeWindowReport(const state::UsageWindowState &window, std::uint64_t fencingNumber,
                      const std::string &reporterId) -> connection::http::Request;

//! Implementation of UsageRunner; everything except start, stop and take runs on its strand.
class UsageRunner::Loop : public std::enable_shared_from_this<UsageRunner::Loop>
{
public:
    Loop(boost::asio::io_context &context, UsageDependencies dependencies, UsageOptions options);

    auto start() -> void;
    auto stop() -> void;
    auto take(wire::Envelope message) -> void;

private:
    auto run() -> boost::asio::awaitable<void>;
    auto tick(base::TimePoint now) -> boost::asio::awaitable<void>;
    auto collectFromControllers() -> boost::asio::awaitable<void>;
    auto appendWindow(std::uint64_t fencingNumber) -> boost::asio::awaitable<void>;
    //! Returns whether the next window may be reported.
    auto reportWindow(state::UsageWindowState window) -> boost::asio::awaitable<bool>;
    //! Returns whether the record was appended to the log.
    auto appendReported(std::uint64_t number) -> boost::asio::awaitable<bool>;
    auto handle(const wire::Envelope &message) -> void;
    auto replyToCollect(const wire::Envelope &message) -> void;
    auto sendMessage(const std::string &peer, wire::Envelope message) -> void;

    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_collectTimer; //!< Cancelled when the last controller has replied.
    UsageDependencies m_dependencies;
    UsageOptions m_options;
    CounterTable m_table;
    std::string m_collectCallId;
    //! Controllers that have not replied to m_collectCallId.
    std::set<std::string> m_pendingControllers;
    std::optional<std::uint64_t> m_fencingNumber;
    base::TimePoint m_windowStart {};
    std::uint64_t m_recordSequence = 0;
    //! Windows that the platform already has with other figures.
    std::set<std::uint64_t> m_conflictingWindows;
    process::metrics::Counter &m_windowsClosed;
    process::metrics::Counter &m_windowsReported;
    process::metrics::Counter &m_windowConflicts;
    std::atomic<bool> m_stopped = false;
};

} // namespace nutmegplank::version::usage
