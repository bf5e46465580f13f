#pragma once

#include "app/ctl/context.h"

namespace nutmegplank::app::ctl {

//! Runs what the options ask for.
auto runCommand(Context &context) -> ExitCode;

// Checks
auto runValidate(const Options &options) -> ExitCode;
auto runCheck(Context &context) -> ExitCode;
auto runCheckRecord(const Options &options) -> ExitCode;

// Changes
auto runPlan(Context &context) -> ExitCode;
auto runApply(Context &context) -> ExitCode;
auto runPresetUse(Context &context) -> ExitCode;
auto runKeyGrant(Context &context) -> ExitCode;
auto runKeyWithdraw(Context &context) -> ExitCode;
//! Takes a zone out or back in.
auto runZone(Context &context, bool out) -> ExitCode;

// Views
auto runStatus(Context &context) -> ExitCode;
auto runAudit(Context &context) -> ExitCode;
auto runExport(Context &context) -> ExitCode;

} // namespace nutmegplank::app::ctl
