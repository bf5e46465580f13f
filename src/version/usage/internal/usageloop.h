#pragma once

#include <atomic>
#include <set>

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "version/usage/usagerunner.h"

namespace nutmegplank::version::usage {

//! The record that closes a window.
auto windowRecord(const WindowContent &content, std::uint64_t fencingNumber) -> boost::json::object;
//! The report of a closed window.
auto windowReport(const state::UsageWindowState &window, std::uint64_t fencingNumber,
                  const std::string &reporter) -> connection::http::Request;

//! The loop behind UsageRunner; everything runs on its strand.
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
    auto collectFromOthers() -> boost::asio::awaitable<void>;
    auto close(std::uint64_t fencingNumber) -> boost::asio::awaitable<void>;
    auto report(state::UsageWindowState window) -> boost::asio::awaitable<bool>;
    auto markReported(std::uint64_t number) -> boost::asio::awaitable<bool>;
    auto handle(const wire::Envelope &message) -> void;
    auto answer(const wire::Envelope &message) -> void;
    auto post(const std::string &peer, wire::Envelope message) -> void;

    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_collected; //!< Cancelled when the last answer has come.
    UsageDependencies m_dependencies;
    UsageOptions m_options;
    CounterTable m_table;
    std::string m_callId;
    std::set<std::string> m_awaited; //!< Controllers whose answer to m_callId has not come.
    std::optional<std::uint64_t> m_number;
    base::TimePoint m_windowBegan {};
    std::uint64_t m_sequence = 0;
    std::set<std::uint64_t> m_conflicts; //!< Windows that stand elsewhere with other figures.
    process::metrics::Counter &m_closed;
    process::metrics::Counter &m_reported;
    process::metrics::Counter &m_conflicting;
    std::atomic<bool> m_stopped = false;
};

} // namespace nutmegplank::version::usage
