#pragma once

#include <map>
#include <optional>
#include <string>

#include "base/timepoint.h"
#include "version/routing/owner.h"

//! Which software version of a service began a stream. Callers may take a broken stream up again at
//! any machine, also after all machines were lost, and only servers of that version may go on.
//!
//! For each service the log holds one version, its baseline. A stream that begins at another
//! version is recorded in the log before its first event is passed on; thus a stream without a
//! record began at the baseline, and nothing is written while a service has only one version.
namespace nutmegplank::version::streamorigin {

struct StreamOrigin
{
    std::string requestId; //!< Of the caller's attempt that begins the stream.
    std::string service;
    std::string software; //!< Empty if the version of the server is not known.
    //! Whose the stream is; nothing if a former version of this program recorded it.
    std::optional<routing::Owner> owner;
};

//! Software version at which the streams without a record began.
struct Baseline
{
    std::string software;
    //! About to be replaced: every stream is recorded, until no caller can take up one that is not.
    bool closing = false;

    auto operator==(const Baseline &) const -> bool = default;
};

using BaselinesByService = std::map<std::string, Baseline>;

//! Longest time over which callers take a stream up again, over all their tries.
constexpr auto TAKE_UP_TIME = base::Duration(std::chrono::seconds(60));
//! A machine that has not read the baselines for this time records every stream. Longer than
//! outages of the log, during which nothing can be recorded.
constexpr auto BASELINE_LIFETIME = base::Duration(std::chrono::seconds(120));

} // namespace nutmegplank::version::streamorigin
