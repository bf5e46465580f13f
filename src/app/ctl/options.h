#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "base/enumtable.h"
#include "base/timepoint.h"

namespace nutmegplank::app::ctl {

enum class Command {
    Validate,
    Check,
    CheckRecord,
    Plan,
    Apply,
    Status,
    PresetUse,
    KeyGrant,
    KeyWithdraw,
    ZoneOut,
    ZoneBack,
    Audit,
    Export,
};

//! What the command line asks for.
struct Options
{
    Command command = Command::Status;
    std::string folder;  //!< Of declarations.
    std::string file;    //!< A record of the platform's configuration.
    std::string inForce; //!< Folder or record to compare with; empty to ask the controllers.
    std::string name;    //!< Preset, workspace, key id or zone.
    std::string keyId;   //!< For key grant; empty for a name of its own.
    std::vector<std::string> controllers; //!< "address:port".
    std::string operatorKeyFile;
    std::string caFile; //!< Empty for plain TCP.
    std::string why;
    std::optional<std::uint64_t> baseVersion; //!< Refuse to change any other version.
    std::uint64_t from = 0;
    base::Duration timeout {}; //!< Until a version must be in force.
    bool json = false;
};

//! Help text of the program.
auto usageText() -> const std::string &;

//! Parses the arguments after the program's name. Ends the process after --help and --version.
auto parseOptions(const std::vector<std::string> &arguments) -> absl::StatusOr<Options>;

} // namespace nutmegplank::app::ctl
