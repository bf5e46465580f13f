#include "process/runtime/runtime.h"

#include <csignal>
#include <cstdio>
#include <iostream>

#include <boost/json.hpp>
#include <docopt/docopt.h>

#include "base/text.h"
#include "process/settings/settings.h"

namespace nutmegplank::process::runtime {

namespace {

constexpr auto VERSION = NUTMEGPLANK_VERSION;

constexpr auto USAGE_TAIL = R"(
Usage:
  PROGRAM --settings=FILE [--check-settings]
  PROGRAM --help
  PROGRAM --version

Options:
  --settings=FILE   Settings in JSON with comments.
  --check-settings  Check the settings and exit: 0 when they are right, 2 when not.
  --help            Show this text.
  --version         Show the version.
)";

auto usageText(std::string_view program, std::string_view summary) -> std::string
{
    auto tail = std::string(USAGE_TAIL);
    constexpr auto PLACEHOLDER = std::string_view("PROGRAM");
    for (auto at = tail.find(PLACEHOLDER); at != std::string::npos; at = tail.find(PLACEHOLDER))
        tail.replace(at, PLACEHOLDER.size(), program);
    // Not "program: summary": docopt would take a program whose name ends in "usage" for its
    // section.
    return base::concat(std::string(program), " - ", std::string(summary), "\n", tail);
}

} // namespace

Runtime::Runtime(std::uint16_t threads)
    : m_context(threads)
    , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
    , m_threads(threads)
{
    std::signal(SIGPIPE, SIG_IGN);
}

Runtime::~Runtime() = default;

auto Runtime::waitForSignal() -> void
{
    m_signals.async_wait([this](const boost::system::error_code &error, int signal) {
        if (error)
            return;
        waitForSignal();
        if (signal == SIGHUP) {
            if (m_onReload)
                m_onReload();
            return;
        }
        if (!m_terminating)
            m_onTerminate();
        m_terminating = true;
    });
}

auto Runtime::run(std::function<void()> onTerminate, std::function<void()> onReload) -> void
{
    m_onTerminate = std::move(onTerminate);
    m_onReload = std::move(onReload);
    waitForSignal();
    auto threads = std::vector<std::thread>();
    for (auto index = 1; index < m_threads; ++index)
        threads.emplace_back([this] { m_context.run(); });
    m_context.run();
    for (auto &thread : threads)
        thread.join();
}

auto Runtime::stop() -> void
{
    m_context.stop();
}

auto dropEarlyReloads() -> void
{
    std::signal(SIGHUP, SIG_IGN);
}

auto printReady(const boost::json::object &line) -> void
{
    std::cout << boost::json::serialize(line) << std::endl;
}

auto exitForBadSettings(std::string_view problem) -> void
{
    std::cerr << problem << "\n";
    std::exit(settings::EXIT_BAD_SETTINGS);
}

auto parseCommandLine(int argc, char **argv, std::string_view program, std::string_view summary)
    -> CommandLine
{
    const auto usage = usageText(program, summary);
    const auto arguments = std::vector<std::string>(argv + 1, argv + argc);
    try {
        const auto parsed = docopt::docopt_parse(usage, arguments, true, true);
        auto line = CommandLine();
        line.settingsFile = parsed.at("--settings").asString();
        line.checkSettings = parsed.at("--check-settings").asBool();
        return line;
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        std::exit(0);
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << program << " " << VERSION << "\n";
        std::exit(0);
    } catch (const docopt::DocoptArgumentError &error) {
        exitForBadSettings(base::concat("wrong command line: ", error.what(), "; see --help"));
    }
}

} // namespace nutmegplank::process::runtime
