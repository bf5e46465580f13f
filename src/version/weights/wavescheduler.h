#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/enumtable.h"
#include "base/timepoint.h"
#include "version/state/iplatformlog.h"

//! Rollout of weight versions, models and adapters to the engines of one service.
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

//! An engine that may receive orders: it is live, and its availability zone is not out of service.
struct Engine
{
    std::string id;
    std::string endpoint;
    bool checksFencing = false;
    bool hasStatus = false; //!< The fields below come from a recent status of the engine.
    std::string bootId; //!< Changes with a restart, which drops everything the engine has loaded.
    std::string model;
    std::uint64_t weightVersion = 0;
    std::uint32_t running = 0;
};

//! One order to one engine. Every resend carries the same id, whichever process sends it.
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

struct WaveTiming
{
    base::Duration resendInterval = std::chrono::milliseconds(500); //!< For unacknowledged orders.
    //! Used until a load has been measured.
    base::Duration initialLoadTimeout = std::chrono::seconds(4);
    //! Bounds of the timeout that is derived from measured loads.
    base::Duration minLoadTimeout = std::chrono::seconds(2);
    base::Duration maxLoadTimeout = std::chrono::seconds(30);
    //! After a failed load; doubles with each further failure.
    base::Duration initialRetryDelay = std::chrono::milliseconds(250);
    base::Duration maxRetryDelay = std::chrono::seconds(10);
    //! Maximum wait for running work before a model is replaced.
    base::Duration drainTimeout = std::chrono::seconds(30);
};

struct WaveInput
{
    std::string service;
    std::optional<state::WeightsState> newestWeights;
    std::string model;                 //!< Model that the engines should serve; empty for any.
    std::vector<std::string> adapters; //!< Adapters that the engines should have loaded.
    std::vector<Engine> engines;
    std::uint32_t maxConcurrentLoads = 1; //!< Limit of the weight store for this service.
    double maxLoadingShare = 0.5;         //!< Maximum fraction of engines that load concurrently.
    base::TimePoint now {};
};

struct WaveDecision
{
    std::vector<EngineOrder> ordersToSend;   //!< New orders and resends.
    std::vector<std::string> serversToHold;  //!< Must get no new requests: their model changes.
    std::vector<std::string> loadingServers; //!< Engines with a load in progress.
};

//! Rolls new weights out to all engines in waves. Idle engines come first, and the number of
//! concurrent loads is limited both by the weight store and to a fraction of the engines. A load
//! that is not confirmed within the timeout counts as failed and is retried with exponential
//! backoff. Does no I/O; its only state is the loads in progress, the retries and what
//! was loaded before.
class WaveScheduler
{
public:
    explicit WaveScheduler(WaveTiming timing);

    auto decide(const WaveInput &input) -> WaveDecision;
    //! Records that the engine accepted the order.
    auto markAccepted(const std::string &server, const std::string &orderId) -> void;
    auto loadsInProgress() const -> std::size_t { return m_loads.size(); }

private:
    struct Load
    {
        EngineOrder order;
        std::string bootId;
        base::TimePoint startedAt {};
        base::TimePoint lastSentAt {};
        bool accepted = false;
    };
    struct Failures
    {
        std::uint32_t count = 0;
        base::TimePoint retryAt {};
    };

    auto finishLoads(const WaveInput &input) -> void;
    auto isDone(const Load &load, const Engine &engine) const -> bool;
    auto recordFailure(const std::string &server, base::TimePoint now) -> void;
    auto resendUnacknowledged(const WaveInput &input, WaveDecision &decision) -> void;
    auto nextOrder(const WaveInput &input, const Engine &engine) const
        -> std::optional<EngineOrder>;
    auto mayStart(const WaveInput &input, const Engine &engine, const EngineOrder &order,
                  WaveDecision &decision) -> bool;
    auto startLoads(const WaveInput &input, WaveDecision &decision) -> void;
    auto loadTimeout() const -> base::Duration;

    WaveTiming m_timing;
    std::map<std::string, Load> m_loads;                           //!< By server id.
    std::map<std::string, Failures> m_failures;                    //!< By server id.
    std::map<std::string, std::set<std::string>> m_loadedAdapters; //!< By "<server id>/<boot id>".
    //! By server id, of servers that wait for a model change.
    std::map<std::string, base::TimePoint> m_drainStarts;
    std::optional<base::Duration> m_averageLoadTime;
};

} // namespace nutmegplank::version::weights
