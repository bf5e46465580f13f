#include <iostream>

#include "app/ctl/commands.h"
#include "base/text.h"

//! The operators' command line.
namespace nutmegplank::app::ctl {

namespace {

auto run(const std::vector<std::string> &arguments) -> ExitCode
{
    auto options = parseOptions(arguments);
    if (!options.ok()) {
        std::cerr << base::toStd(options.status().message()) << "\n";
        return ExitCode::BadInput;
    }
    auto context = makeContext(*options);
    if (!context.ok())
        return fail(*options, ExitCode::BadInput, base::toStd(context.status().message()));
    return runCommand(*context);
}

} // namespace

} // namespace nutmegplank::app::ctl

auto main(int argc, char **argv) -> int
{
    const auto arguments = std::vector<std::string>(argv + 1, argv + argc);
    return static_cast<int>(nutmegplank::app::ctl::run(arguments));
}
