#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/enumtable.h"
#include "base/timepoint.h"
#include "version/state/iplatformlog.h"

//! Weight versions, models and adapters on the engines of one service.
namespace nutmegplank::version::weights {

enum class EngineOrderKind {
    LoadWeights,
    LoadModel,
    LoadAdapter,
};

constexpr auto ENGINE_ORDER_KIND_NAMES = base::EnumTable<EngineOrderKind, 3> { {
    { EngineOrderKind::LoadWeights, "load_weights" },
    { EngineOrderKind::LoadModel, "load_model" },
    { EngineOrderKind::LoadAdapter, "load_adapter" },
} };

//! An engine that may get orders: live, and in a zone that is not out.
struct Engine
{
    std::string id;
    std::string endpoint;
    bool checksFencing = false;
    bool known = false; //!< The engine itself has told the fields below lately.
    std::string bootId; //!< Changes when it starts anew, and all that it had loaded is gone.
    std::string model;
    std::uint64_t weightVersion = 0;
    std::uint32_t running = 0;
};

//! One order to one engine. The id is the same for every repeat, by whichever process.
struct EngineOrder
{
    std::string orderId;
    EngineOrderKind kind = EngineOrderKind::LoadWeights;
    std::string server;
    std::string endpoint;
    bool checksFencing = false;
    std::string model;
    std::string adapter;
    std::uint64_t version = 0;
    std::string source;
};

struct WaveTimes
{
    base::Duration repeatAfter = std::chrono::milliseconds(500); //!< When the answer was lost.
    base::Duration firstLoad = std::chrono::seconds(4);    //!< Longest load, until one is measured.
    base::Duration shortestLoad = std::chrono::seconds(2); //!< Bounds of the measured longest load.
    base::Duration longestLoad = std::chrono::seconds(30);
    base::Duration retryFirst = std::chrono::milliseconds(250); //!< After a failed swap; doubles.
    base::Duration retryMost = std::chrono::seconds(10);
    base::Duration drain = std::chrono::seconds(30); //!< Longest wait for running work before a
                                                     //!< model is replaced.
};

struct WaveInput
{
    std::string service;
    std::optional<state::WeightsState> newest;
    std::string model;                 //!< What the engines shall serve; empty for any.
    std::vector<std::string> adapters; //!< What they shall have loaded.
    std::vector<Engine> engines;
    std::uint32_t slots = 1;   //!< Loads at once that the weight store bears for this service.
    double largestShare = 0.5; //!< Of the engines that may load at once.
    base::TimePoint now {};
};

struct WaveDecision
{
    std::vector<EngineOrder> send;  //!< New ones, and those to repeat.
    std::vector<std::string> hold;  //!< Engines that shall get no new work: their model changes.
    std::vector<std::string> watch; //!< Engines whose load is under way.
};

//! Puts new weights on all engines in waves: within the weight store's rate, idle engines first,
//! never more than a share of the capacity at once; a load that does not show in time has failed
//! and is tried again. Pure, but for the memory of loads under way.
class WaveScheduler
{
public:
    explicit WaveScheduler(WaveTimes times);

    auto decide(const WaveInput &input) -> WaveDecision;
    //! The engine took the order.
    auto taken(const std::string &server, const std::string &orderId) -> void;
    auto underWay() const -> std::size_t { return m_loads.size(); }

private:
    struct Load
    {
        EngineOrder order;
        std::string bootId;
        base::TimePoint started {};
        base::TimePoint sent {};
        bool taken = false;
    };
    struct Failures
    {
        std::uint32_t count = 0;
        base::TimePoint retryAt {};
    };

    auto finishLoads(const WaveInput &input) -> void;
    auto isDone(const Load &load, const Engine &engine) const -> bool;
    auto fail(const std::string &server, base::TimePoint now) -> void;
    auto repeatLost(const WaveInput &input, WaveDecision &decision) -> void;
    auto nextOrder(const WaveInput &input, const Engine &engine) const
        -> std::optional<EngineOrder>;
    auto mayStart(const WaveInput &input, const Engine &engine, const EngineOrder &order,
                  WaveDecision &decision) -> bool;
    auto startNew(const WaveInput &input, WaveDecision &decision) -> void;
    auto loadTime() const -> base::Duration;

    WaveTimes m_times;
    std::map<std::string, Load> m_loads;                     //!< By server.
    std::map<std::string, Failures> m_failures;              //!< By server.
    std::map<std::string, std::set<std::string>> m_adapters; //!< By server and boot id.
    std::map<std::string, base::TimePoint> m_draining;       //!< By server: its model shall change.
    std::optional<base::Duration> m_measuredLoad;
};

} // namespace nutmegplank::version::weights
