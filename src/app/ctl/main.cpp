#include <iostream>

#include "app/ctl/commands.h"
#include "base/text.h"

//! The operators' command line.
namespace nutmegplank::app::ctl {

namespace {

auto runCommand(Context &context) -> ExitCode
{
    switch (context.options.command) {
    case Command::Validate:
        return runValidate(context.options);
    case Command::Plan:
        return runPlan(context);
    case Command::Apply:
        return runApply(context);
    case Command::Status:
        return runStatus(context);
    case Command::PresetUse:
        return runPresetUse(context);
    case Command::KeyGrant:
        return runKeyGrant(context);
    case Command::KeyWithdraw:
        return runKeyWithdraw(context);
    case Command::ZoneOut:
        return runZone(context, true);
    case Command::ZoneBack:
        return runZone(context, false);
    case Command::Audit:
        return runAudit(context);
    case Command::Export:
        return runExport(context);
    }
    return ExitCode::BadInput;
}

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
