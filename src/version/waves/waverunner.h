#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>

#include "process/metrics/metrics.h"
#include "version/waves/ienginecontrol.h"
#include "version/waves/waveplanner.h"

namespace nutmegplank::version::waves {

//! An engine that can receive orders.
struct OrderableEngine
{
    std::string id;
    std::string endpoint;
    std::string service;
    std::int64_t incarnation = 0;
    std::map<std::string, std::uint64_t> versions; //!< Newest known loaded versions by model.
    std::uint32_t running = 0;                     //!< Number of running requests.
    bool reachable = true;
    bool mayCall = true; //!< Its request limit, if any, leaves room for an order or a report.
};

//! Callbacks used by the runner; all of them must be set.
struct WaveRunnerHooks
{
    std::function<base::TimePoint()> now;
    //! An order or a report is about to be sent to the engine.
    std::function<void(const std::string &engine)> onCall;
    //! The fencing number while this process holds the lease.
    std::function<std::optional<std::uint64_t>(base::TimePoint now)> fence;
    std::function<std::vector<OrderableEngine>()> engines;
    //! Newest published version by model.
    std::function<std::map<std::string, std::uint64_t>()> publishedVersions;
    //! Oldest version of \a model that pending work may use.
    std::function<std::uint64_t(const std::string &model)> minimumVersion;
    //! Pending work by model, in tokens.
    std::function<std::map<std::string, double>()> demand;
    std::function<LoadStrategy(const std::string &service)> strategy;
    std::function<void(const OrderableEngine &engine, const std::string &model,
                       std::uint64_t version)>
        onVersion;
    std::function<void(const std::string &engine, bool loading)> onLoading;
};

//! Sends orders to load weights and tracks each one until the engine reports the version or it is
//! certain that the engine did not take the order.
class WaveRunner
{
public:
    WaveRunner(boost::asio::io_context &context, IEngineControl &control, WaveRunnerHooks hooks,
               process::metrics::Registry &metrics);

    auto start() -> void;

private:
    //! An order that is not yet known to be completed or refused.
    struct OpenOrder
    {
        WeightOrder order;
        std::int64_t incarnation = 0;
        base::TimePoint sentAt {};
        base::TimePoint nextCheck {};
        bool acknowledged = false; //!< The engine has accepted the order.
        bool checking = false;     //!< A status request is pending.
    };

    //! Number of orders that an engine has accepted since it started.
    struct AcceptedOrders
    {
        std::int64_t incarnation = 0;
        std::uint64_t count = 0;
    };

    auto loop() -> boost::asio::awaitable<void>;
    auto tick(base::TimePoint now) -> void;
    auto updateOpenOrders(const std::vector<OrderableEngine> &engines, base::TimePoint now) -> void;
    auto planOrders(const std::vector<OrderableEngine> &engines, std::uint64_t fence,
                    base::TimePoint now) -> void;
    auto send(OrderableEngine engine, WeightOrder order) -> boost::asio::awaitable<void>;
    //! Asks an engine how many orders it has accepted; the first order must carry that number.
    auto fetchAcceptedOrders(OrderableEngine engine) -> boost::asio::awaitable<void>;
    auto checkOrder(OrderableEngine engine) -> boost::asio::awaitable<void>;
    auto evaluateReport(const OrderableEngine &engine, const EngineReport &report,
                        base::TimePoint now) -> void;
    auto closeOrder(const std::string &engine, std::string_view reason, base::Duration retryDelay)
        -> void;

    boost::asio::io_context &m_context;
    IEngineControl &m_control;
    WaveRunnerHooks m_hooks;
    std::map<std::string, WavePlanner> m_planners;          //!< By service.
    std::map<std::string, OpenOrder> m_openOrders;          //!< By engine.
    std::map<std::string, AcceptedOrders> m_acceptedOrders; //!< By engine.
    std::set<std::string> m_fetchingAccepted; //!< Engines with a pending fetchAcceptedOrders().
    std::map<std::string, base::TimePoint> m_retryAfter;
    //! Highest own fencing number that an engine refused as outdated.
    std::uint64_t m_rejectedFence = 0;
    process::metrics::Counter &m_orders;
    process::metrics::Distribution &m_loadSeconds;
};

} // namespace nutmegplank::version::waves
