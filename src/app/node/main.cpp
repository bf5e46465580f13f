#include <iostream>

#include <docopt/docopt.h>

#include "app/node/node.h"
#include "base/status.h"
#include "platform/nodefile.h"
#include "process/logging/logging.h"
#include "process/memory/allocator.h"
#include "process/runtime/runtime.h"
#include "process/settings/settings.h"

namespace {

using namespace nutmegplank;

constexpr auto USAGE = R"(nutmegplank-node - one machine of nutmegplank on the users' platform.

Usage:
  nutmegplank-node [--settings=FILE] [--log-level=LEVEL] [--check-settings]
  nutmegplank-node --help

Options:
  --settings=FILE    The machine's settings, as the platform writes them. Default: the file that
                     the environment names.
  --log-level=LEVEL  debug, info, warning or error [default: info].
  --check-settings   Check the settings and exit: 0 when they are right, 2 when not.
  --help             Show this text.
)";

} // namespace

auto main(int argc, char **argv) -> int
{
    process::runtime::dropEarlyReloads();
    const auto options =
        docopt::docopt(USAGE, std::vector<std::string>(argv + 1, argv + argc), true);
    const auto path = options.at("--settings").isString() ? options.at("--settings").asString()
                                                          : platform::nodeFilePath();
    auto settings = platform::readNodeFile(path);
    if (!settings.ok())
        process::runtime::exitForBadSettings(base::describe(settings.status()));
    if (options.at("--check-settings").asBool())
        return 0;
    if (settings->memoryBytes > 0)
        process::memory::mapLargeBuffers();
    const auto node = settings->node;
    process::logging::startBounded("node", node, options.at("--log-level").asString());
    auto runtime = process::runtime::Runtime(1);
    auto machine = std::make_unique<app::node::Node>(runtime, std::move(*settings));
    const auto started = machine->start();
    if (!started.ok()) {
        process::logging::error("node.start_failed", { { "problem", base::describe(started) } });
        process::logging::stop();
        return 1;
    }
    runtime.run([&machine] { machine->terminate(); }, [&machine] { machine->reload(); });
    process::logging::stop();
    // Coroutines still refer to the machine; the process ends here anyway.
    machine.release();
    std::_Exit(0);
}
