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

//! An engine that may get orders.
struct OrderableEngine
{
    std::string id;
    std::string endpoint;
    std::string service;
    std::int64_t incarnation = 0;
    std::map<std::string, std::uint64_t> versions; //!< Newest that is known, by model.
    std::uint32_t running = 0;
    bool reachable = true;
};

//! What the runner works with; all hooks are needed.
struct WaveRunnerHooks
{
    std::function<base::TimePoint()> now;
    //! The fencing number while this process is in charge.
    std::function<std::optional<std::uint64_t>(base::TimePoint now)> fence;
    std::function<std::vector<OrderableEngine>()> engines;
    std::function<std::map<std::string, std::uint64_t>()> named;
    std::function<std::uint64_t(const std::string &model)> needed;
    std::function<std::map<std::string, double>()> demand;
    std::function<LoadStrategy(const std::string &service)> strategy;
    std::function<void(const OrderableEngine &engine, const std::string &model,
                       std::uint64_t version)>
        onVersion;
    std::function<void(const std::string &engine, bool loading)> onLoading;
};

//! Sends orders to load weights, and follows each until the engine shows the version or has
//! certainly not taken the order.
class WaveRunner
{
public:
    WaveRunner(boost::asio::io_context &context, IEngineControl &control, WaveRunnerHooks hooks,
               process::metrics::Registry &metrics);

    auto start() -> void;

private:
    //! An order that is not known to be done or refused.
    struct OpenOrder
    {
        WeightOrder order;
        std::int64_t incarnation = 0;
        base::TimePoint sentAt {};
        base::TimePoint nextCheck {};
        bool answered = false; //!< The engine has accepted it.
        bool asking = false;
    };

    //! Orders that an engine has accepted since its start.
    struct Accepted
    {
        std::int64_t incarnation = 0;
        std::uint64_t count = 0;
    };

    auto loop() -> boost::asio::awaitable<void>;
    auto tick(base::TimePoint now) -> void;
    auto followOpen(const std::vector<OrderableEngine> &engines, base::TimePoint now) -> void;
    auto planNew(const std::vector<OrderableEngine> &engines, std::uint64_t fence,
                 base::TimePoint now) -> void;
    auto send(OrderableEngine engine, WeightOrder order) -> boost::asio::awaitable<void>;
    //! Asks an engine how many orders it has accepted, so that the first one can name that number.
    auto learn(OrderableEngine engine) -> boost::asio::awaitable<void>;
    auto check(OrderableEngine engine) -> boost::asio::awaitable<void>;
    auto judge(const OrderableEngine &engine, const EngineReport &report, base::TimePoint now)
        -> void;
    auto close(const std::string &engine, std::string_view reason, base::Duration pause) -> void;

    boost::asio::io_context &m_context;
    IEngineControl &m_control;
    WaveRunnerHooks m_hooks;
    std::map<std::string, WavePlanner> m_planners; //!< By service.
    std::map<std::string, OpenOrder> m_open;       //!< By engine.
    std::map<std::string, Accepted> m_accepted;    //!< By engine.
    std::set<std::string> m_learning;              //!< Engines that are being asked.
    std::map<std::string, base::TimePoint> m_notBefore;
    std::uint64_t m_fencedOff = 0; //!< An engine has seen a higher number than this one of ours.
    process::metrics::Counter &m_orders;
    process::metrics::Distribution &m_loadSeconds;
};

} // namespace nutmegplank::version::waves
