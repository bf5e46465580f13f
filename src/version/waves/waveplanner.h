#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/timepoint.h"

namespace nutmegplank::version::waves {

//! An engine as the planner sees it.
struct WaveEngine
{
    std::string id;
    std::map<std::string, std::uint64_t> versions; //!< Of weights, by model.
    std::uint32_t running = 0;
    bool loading = false;
    bool orderable = true; //!< Reachable, and not waiting after a failed order.
};

struct WaveInput
{
    std::vector<WaveEngine> engines;             //!< Of one service.
    std::map<std::string, std::uint64_t> named;  //!< Newest version by model.
    std::map<std::string, std::uint64_t> needed; //!< Oldest version that open work may use.
    std::map<std::string, double> demand;        //!< Open work by model, in tokens.
    base::TimePoint now {};
};

struct WaveOrder
{
    std::string engine;
    std::string model;
    std::uint64_t version = 0;
};

//! Answers the pattern of several trainers that share engines and name a version every few
//! seconds: each engine belongs to one model and loads only that one's weights, a few engines at a
//! time, first those that can do no work for their model without it, then the idlest. Since a step
//! may use the version before its own, the others work meanwhile.
class WavePlanner
{
public:
    auto decide(const WaveInput &input) -> std::vector<WaveOrder>;
    //! The model that \a engine belongs to; empty when it has none yet.
    auto modelOf(const std::string &engine) const -> std::string;

private:
    auto updateDemand(const WaveInput &input) -> void;
    auto assign(const WaveInput &input) -> void;

    std::map<std::string, std::string> m_models; //!< By engine.
    std::map<std::string, double> m_demand;      //!< Smoothed, by model.
    base::TimePoint m_demandAt {};
};

//! Engines of \a count that may load at the same time: one in five, since the platform slows loads
//! down beyond that.
auto loadsAtOnce(std::size_t count) -> std::size_t;

} // namespace nutmegplank::version::waves
