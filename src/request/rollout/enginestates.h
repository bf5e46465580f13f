#pragma once

#include <map>
#include <string>

#include "base/timepoint.h"
#include "request/rollout/enginespeeds.h"

namespace nutmegplank::request::rollout {

//! State of the engines that this process observes itself, in addition to their stored records:
//! weight versions seen in responses and reports, token speed, and whether an engine is loading
//! weights. Shared by the executor that runs items and the code that orders weight loads.
class EngineStates
{
public:
    //! Records that the engine reported \a version of \a model. Within an incarnation, a version
    //! never decreases.
    auto noteVersion(const std::string &engine, std::int64_t incarnation, const std::string &model,
                     std::uint64_t version) -> void;
    //! The newest version seen in this incarnation; 0 if none.
    auto version(const std::string &engine, std::int64_t incarnation,
                 const std::string &model) const -> std::uint64_t;
    //! Records the time between two events of one run while \a running runs share the engine.
    auto noteEventInterval(const std::string &engine, base::Duration interval,
                           std::uint32_t running) -> void;
    //! Recomputes the median event interval, which slowdown() uses.
    auto updateMedian() -> void;
    //! Time per event relative to the median engine, e.g. 2 for half its speed; 1 while there are
    //! too few samples.
    auto slowdown(const std::string &engine) const -> double;
    //! Usual time between events of a run while \a running runs share the engine; 0 if not known.
    auto eventInterval(const std::string &engine, std::uint32_t running) const -> base::Duration;
    auto setLoading(const std::string &engine, bool loading) -> void;
    auto loading(const std::string &engine) const -> bool;
    //! Measured times per event, for the placement by finish time.
    auto speeds() -> EngineSpeeds & { return m_speeds; }
    auto speeds() const -> const EngineSpeeds & { return m_speeds; }
    auto forget(const std::string &engine) -> void
    {
        m_engines.erase(engine);
        m_speeds.forget(engine);
    }

private:
    struct State
    {
        std::int64_t incarnation = 0;
        std::map<std::string, std::uint64_t> versions;
        double soloIntervalSeconds = 0; //!< Smoothed, without the cost of concurrent runs.
        std::uint32_t intervalCount = 0;
        bool loading = false;
    };

    std::map<std::string, State> m_engines;
    EngineSpeeds m_speeds;
    double m_medianIntervalSeconds = 0; //!< 0 while not known.
};

} // namespace nutmegplank::request::rollout
