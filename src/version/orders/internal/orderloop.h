#pragma once

#include <atomic>
#include <map>
#include <set>

#include <boost/asio.hpp>

#include "version/orders/internal/ordermessages.h"
#include "version/orders/orderrunner.h"

namespace nutmegplank::version::orders {

//! The loop behind OrderRunner; everything runs on its strand.
class OrderRunner::Loop : public std::enable_shared_from_this<OrderRunner::Loop>
{
public:
    Loop(boost::asio::io_context &context, OrderDependencies dependencies, OrderOptions options);

    auto start() -> void;
    auto stop() -> void;

private:
    auto run() -> boost::asio::awaitable<void>;
    auto tick(base::TimePoint now) -> void;
    auto makeInput(base::TimePoint now) -> ZoneInput;
    auto begin(const NewOrder &order, std::uint64_t fencingNumber) -> void;
    auto writeIntent(state::OrderState order, std::uint64_t fencingNumber)
        -> boost::asio::awaitable<void>;
    auto send(state::OrderState order, bool zoneOut) -> boost::asio::awaitable<void>;
    auto ask(state::OrderState order, bool zoneOut) -> boost::asio::awaitable<OrderResult>;
    auto settle(state::OrderState order, OrderResult result) -> boost::asio::awaitable<void>;
    auto holdServers(const std::vector<std::string> &servers, base::TimePoint now) -> void;

    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    boost::asio::steady_timer m_timer;
    OrderDependencies m_dependencies;
    OrderOptions m_options;
    ZoneOrders m_decider;
    std::optional<std::uint64_t> m_number;
    std::map<std::string, state::OrderState> m_writing; //!< By order id: not yet read back.
    std::set<std::string> m_sending;                    //!< Order ids with a call under way.
    base::TimePoint m_lastHold {};
    process::metrics::Counter &m_intents;
    process::metrics::Counter &m_calls;
    process::metrics::Counter &m_unclear;
    std::atomic<bool> m_stopped = false;
};

} // namespace nutmegplank::version::orders
