#include "app/ctl/commands.h"

namespace nutmegplank::app::ctl {

auto runCommand(Context &context) -> ExitCode
{
    switch (context.options.command) {
    case Command::Validate:
        return runValidate(context.options);
    case Command::Check:
        return runCheck(context);
    case Command::CheckRecord:
        return runCheckRecord(context.options);
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

} // namespace nutmegplank::app::ctl
