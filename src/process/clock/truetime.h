#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/timepoint.h"

namespace nutmegplank::process::clock {

//! The time of day without the jumps of this machine's clock: read once at the start, carried on by
//! the boot clock, and corrected when most other machines agree on another time.
class TrueTime
{
public:
    //! \a wallMs is the machine's time of day at \a now.
    TrueTime(std::int64_t wallMs, base::TimePoint now);

    auto milliseconds(base::TimePoint now) const -> std::int64_t;
    //! Another machine's true time, as heard at \a now. Transport only makes it look older.
    auto hear(const std::string &peer, std::int64_t peerMs, base::TimePoint now) -> void;

private:
    struct Heard
    {
        std::int64_t offset = 0; //!< Of the peer's true time from the boot clock here.
        base::TimePoint at {};
    };

    auto correct(base::TimePoint now) -> void;

    std::int64_t m_offset; //!< True time less the boot clock, in milliseconds.
    std::map<std::string, Heard> m_peers;
};

} // namespace nutmegplank::process::clock
