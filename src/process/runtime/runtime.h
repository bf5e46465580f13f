#pragma once

#include <functional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/value.hpp>

//! The shell of a process: threads, signals, and the line that says it is ready.
namespace nutmegplank::process::runtime {

//! Owns the io_context and the threads that run it.
class Runtime
{
public:
    explicit Runtime(std::uint16_t threads);
    ~Runtime();

    auto context() -> boost::asio::io_context & { return m_context; }
    //! \a onTerminate runs once, at the first SIGTERM or SIGINT; it begins the graceful shutdown,
    //! which ends by a call of stop(). \a onReload runs at each SIGHUP.
    auto run(std::function<void()> onTerminate, std::function<void()> onReload = {}) -> void;
    //! Lets run() return; may be called from any thread.
    auto stop() -> void;

private:
    auto waitForSignal() -> void;

    boost::asio::io_context m_context;
    boost::asio::signal_set m_signals;
    std::uint16_t m_threads;
    std::function<void()> m_onTerminate;
    std::function<void()> m_onReload;
    bool m_terminating = false;
};

//! Call it first in main(): a request to reload that comes before a Runtime listens is dropped, as
//! the settings are about to be read, and does not end the process.
auto dropEarlyReloads() -> void;

//! Prints one JSON line with the bound ports on standard output, for whoever started the process.
auto printReady(const boost::json::object &line) -> void;

//! What the usual options of a program ask for.
struct CommandLine
{
    std::string settingsFile;
    bool checkSettings = false;
};

//! Parses "--settings FILE", "--check-settings", "--help" and "--version"; ends the process with
//! exit code 2 and one line when they are wrong. \a summary is one sentence on what the program
//! does.
auto parseCommandLine(int argc, char **argv, std::string_view program, std::string_view summary)
    -> CommandLine;

//! Ends the process with exit code 2 after writing the problem on standard error.
[[noreturn]] auto exitForBadSettings(std::string_view problem) -> void;

} // namespace nutmegplank::process::runtime
