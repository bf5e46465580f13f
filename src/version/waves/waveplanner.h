#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/timepoint.h"

namespace nutmegplank::version::waves {

//! Engine state used for planning.
struct WaveEngine
{
    std::string id;
    std::map<std::string, std::uint64_t> versions; //!< Loaded weight versions by model.
    std::uint32_t running = 0;                     //!< Number of running requests.
    bool loading = false;
    bool orderable = true; //!< Reachable, and not in the retry delay after a failed order.
};

struct WaveInput
{
    std::vector<WaveEngine> engines;                     //!< Engines of a single service.
    std::map<std::string, std::uint64_t> newestVersions; //!< Newest published version by model.
    //! Oldest version that pending work may use, by model.
    std::map<std::string, std::uint64_t> minimumVersions;
    std::map<std::string, double> demand; //!< Pending work by model, in tokens.
    base::TimePoint now {};
};

struct WaveOrder
{
    std::string engine;
    std::string model;
    std::uint64_t version = 0;
};

//! Schedules weight loads for several trainers that share engines and publish a version every few
//! seconds. Each engine is assigned to one model and loads only that model's weights. Only a few
//! engines load at a time: first those whose version is too old for any pending work of their
//! model, then those with the fewest running requests. A training step may use the version before
//! its own, so the other engines keep working in the meantime.
class WavePlanner
{
public:
    auto decide(const WaveInput &input) -> std::vector<WaveOrder>;
    //! The model that \a engine is assigned to; empty if there is none yet.
    auto modelOf(const std::string &engine) const -> std::string;

private:
    auto updateDemand(const WaveInput &input) -> void;
    auto assignModels(const WaveInput &input) -> void;

    std::map<std::string, std::string> m_assignedModels; //!< By engine.
    std::map<std::string, double> m_demand; //!< Exponentially smoothed demand by model, in tokens.
    base::TimePoint m_demandUpdatedAt {};
};

//! Number of engines out of \a count that may load at the same time: one in five, because the
//! platform slows down loads beyond that.
auto maxConcurrentLoads(std::size_t count) -> std::size_t;

} // namespace nutmegplank::version::waves
