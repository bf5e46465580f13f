#pragma once

#include <atomic>
#include <map>
#include <set>

#include <boost/asio.hpp>

#include "version/orders/internal/ordermessages.h"
#include "version/orders/orderrunner.h"

namespace nutmegplank::version::orders {

//! Implementation of OrderRunner; all its work runs on one strand.
class OrderRunner::Loop : public std::enable_shared_from_this<OrderRunner::Loop>
{
public:
    Loop(boost::asio::io_context &context, OrderDependencies dependencies, OrderOptions options);

    auto start() -> void;
    auto stop() -> void;

private:
    auto run() -> boost::asio::awaitable<void>;
    auto tick(base::TimePoint now) -> void;
    auto trackWithoutLease(base::TimePoint now) -> void;
    auto makeInput(base::TimePoint now) -> ZoneInput;
    //! Starts writing the intent of a new order.
    auto startOrder(const NewOrder &order, std::uint64_t fencingNumber) -> void;
    auto writeIntent(state::OrderState order, std::uint64_t fencingNumber)
        -> boost::asio::awaitable<void>;
    auto send(state::OrderState order, bool zoneOut) -> boost::asio::awaitable<void>;
    //! Sends the order, or only queries it if it is a create order and the zone is out of service.
    auto callOrdering(state::OrderState order, bool zoneOut) -> boost::asio::awaitable<OrderResult>;
    auto recordOutcome(state::OrderState order, OrderResult result) -> boost::asio::awaitable<void>;
    //! Requests a hold of the servers, rate-limited.
    auto requestHold(const std::vector<std::string> &servers, base::TimePoint now) -> void;

    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    boost::asio::steady_timer m_timer;
    OrderDependencies m_dependencies;
    OrderOptions m_options;
    ZoneOrders m_zoneOrders;
    //! Of the lease; nullopt while this process does not hold it.
    std::optional<std::uint64_t> m_fencingNumber;
    //! By order id; not read back from the log yet.
    std::map<std::string, state::OrderState> m_pendingIntents;
    std::set<std::string> m_inFlight; //!< Ids of orders with a call in progress.
    base::TimePoint m_lastHoldTime {};
    base::TimePoint m_lastTrackTime {};
    process::metrics::Counter &m_intentsWritten;
    process::metrics::Counter &m_callsSent;
    process::metrics::Counter &m_unclearAnswers;
    std::atomic<bool> m_stopped = false;
};

} // namespace nutmegplank::version::orders
