#pragma once

#include <deque>
#include <map>
#include <string>

#include "base/timepoint.h"

namespace nutmegplank::request::rollout {

//! Measured time per event of each engine, in seconds. Keeps two estimates: the recent one follows
//! an engine that turns slow; the usual one is the best that the engine has sustained and counts
//! again once nothing has been heard of it for a while, so that a slow phase is soon forgotten.
class EngineSpeeds
{
public:
    //! Records the mean time between some events of one run.
    auto noteInterval(const std::string &engine, base::Duration interval, base::TimePoint now)
        -> void;
    //! Expected time per event at \a engine; that of the middle engine if it is not known, and 0 if
    //! no engine is.
    auto eventSeconds(const std::string &engine, base::TimePoint now) const -> double;
    //! Recomputes what is known of all engines together: the middle engine and hasKinds(). Forgets
    //! engines of which nothing was heard for long.
    auto update(base::TimePoint now) -> void;
    //! Whether the engines are of different kinds: a large part of them is usually slower than
    //! another large part.
    auto hasKinds() const -> bool { return m_hasKinds; }
    auto forget(const std::string &engine) -> void { m_engines.erase(engine); }

private:
    struct State
    {
        double recentSeconds = 0;
        base::TimePoint recentAt {};
        std::uint32_t samples = 0;
        base::TimePoint windowStart {};
        double windowSum = 0;
        std::uint32_t windowSamples = 0;
        std::deque<double> windowMeans; //!< Of the last complete windows.
    };

    static auto usualSeconds(const State &state) -> double;

    std::map<std::string, State> m_engines;
    double m_middleSeconds = 0;
    bool m_hasKinds = false;
};

} // namespace nutmegplank::request::rollout
