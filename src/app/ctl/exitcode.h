#pragma once

namespace nutmegplank::app::ctl {

//! Exit codes of nutmegplankctl.
enum class ExitCode {
    Done = 0,
    Failed = 1,     //!< No controller answered, or the log is out of reach.
    BadInput = 2,   //!< Command line, declarations or key are wrong.
    Conflict = 3,   //!< Another operator's change came first; nothing was changed.
    NotInForce = 4, //!< In the log, but not in force everywhere in time.
};

} // namespace nutmegplank::app::ctl
