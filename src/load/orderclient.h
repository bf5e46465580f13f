#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include "connection/http/message.h"
#include "load/addressclient.h"
#include "load/latencies.h"

namespace nutmegplank::load {

//! One order desk of a run.
struct OrderPlan
{
    std::string name;
    std::string workspace; //!< For reports only.
    std::string key;
    std::string path = "/orders";
    std::uint32_t count = 0;
    double perSecond = 10;
    bool idempotencyKeys = false; //!< Then unknown outcomes are sent again, too.
    bool killer = false;          //!< Sends completions that crash stand-in engines, not orders.
    std::uint32_t timeoutMs = 10'000;
};

//! What an order desk has seen.
struct OrderCounts
{
    std::uint64_t sent = 0; //!< Orders, not tries.
    std::uint64_t confirmed = 0;
    std::uint64_t wrongAnswers = 0;  //!< Confirmed, but not this order.
    std::uint64_t unknown = 0;       //!< May have run or not.
    std::uint64_t refusedNotRun = 0; //!< Tries that were refused as not run; they are sent again.
    std::uint64_t gaveUp = 0;        //!< Orders that never ran within their time.
    std::uint64_t connectFailed = 0; //!< Tries that reached no gateway.
    std::uint64_t otherStatus = 0;   //!< Answers of other kinds than the above.
    std::map<std::string, std::uint64_t> refusals; //!< Tries, by the refusal's code.

    auto add(const OrderCounts &other) -> void;
};

//! Sends orders at an even pace, each at most once unless it certainly did not run.
class OrderClient
{
public:
    OrderClient(OrderPlan plan, std::uint64_t seed, std::shared_ptr<AddressClient> addresses);

    //! Sends all orders and waits for their ends, until \a deadline at most.
    auto run(base::TimePoint deadline) -> boost::asio::awaitable<void>;

    auto counts() const -> const OrderCounts & { return m_counts; }
    auto plan() const -> const OrderPlan & { return m_plan; }
    //! Of confirmed orders, from the first try on.
    auto latencies() const -> const Latencies & { return m_latencies; }

private:
    enum class TryEnd {
        Confirmed,
        WrongAnswer,
        NotRun,
        Unknown,
        OtherStatus,
    };
    struct Try
    {
        TryEnd end = TryEnd::Unknown;
        base::Duration retryAfter {};
    };

    auto runOrder(std::string id, base::TimePoint deadline) -> boost::asio::awaitable<void>;
    auto tryOnce(std::string id) -> boost::asio::awaitable<Try>;
    auto makeRequest(const std::string &id) const -> connection::http::Request;
    auto readRefusal(const std::string &body) -> Try;
    auto settle(TryEnd end, base::TimePoint begun) -> void;

    OrderPlan m_plan;
    std::uint64_t m_seed;
    std::shared_ptr<AddressClient> m_addresses;
    OrderCounts m_counts;
    Latencies m_latencies;
    std::uint64_t m_open = 0;
};

} // namespace nutmegplank::load
