#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "base/jsonreader.h"
#include "base/timepoint.h"

namespace nutmegplank::standins {

//! A backend server process that runs already and waits to be handed out.
struct PoolServer
{
    std::string id;
    std::string service;
    std::string zone;
    std::string address;
    bool cheap = false;
    bool checksFencing = false;
    bool live = false;            //!< In the list from the start.
    std::uint32_t generation = 0; //!< How often it has been handed out.
    bool taken = false;
};

//! What tests make go wrong.
struct CloudFaults
{
    base::Duration lag {};          //!< From the truth to the VM list.
    base::TimePoint outageUntil {}; //!< Ordering and list answer 503.
    base::Duration slow {};         //!< Before each answer of the ordering interface.
    std::int64_t loseAnswers = 0;   //!< So many answers are lost after they took effect.
    std::int64_t refuseOrders = 0;  //!< So many creates are refused.
    bool refuseCheap = false;
    bool checksFencing = true;
};

struct CloudAnswer
{
    std::uint32_t status = 200;
    boost::json::object body;
    bool lost = false; //!< The order took effect, but the caller shall not hear of it.
};

//! The platform's truth: servers, orders, and the list that lags behind.
class Cloud
{
public:
    explicit Cloud(std::vector<PoolServer> pool, base::TimePoint now);

    auto order(const std::string &orderId, base::ObjectReader &body, base::TimePoint now)
        -> CloudAnswer;
    auto find(const std::string &orderId) const -> CloudAnswer;
    //! Changes after \a since that the list shows by \a now.
    auto list(std::uint64_t since, base::TimePoint now) -> boost::json::object;
    auto hasNews(std::uint64_t since, base::TimePoint now) -> bool;
    auto reclaim(const std::string &zone, const std::string &service, base::Duration notice,
                 base::TimePoint now) -> void;
    auto markLeaving(const std::string &vm, base::TimePoint now) -> void;
    auto remove(const std::string &vm, base::TimePoint now) -> void;
    auto stats(base::TimePoint now) const -> boost::json::object;
    auto faults() -> CloudFaults & { return m_faults; }
    auto isOut(base::TimePoint now) const -> bool { return now < m_faults.outageUntil; }

private:
    struct Vm
    {
        std::string id;
        std::size_t pool = 0;
        std::string orderId;
        std::string state;
        base::TimePoint since {};
        base::TimePoint goneAt = base::TimePoint::max(); //!< Ends by itself then.
    };
    //! A change on its way to the list.
    struct Change
    {
        std::string vm;
        std::string state;
        base::TimePoint at {};
    };
    struct Listed
    {
        std::uint64_t revision = 0;
        std::string state;
    };
    struct Order
    {
        std::string kind;
        std::string server;
        std::string state;
        std::string scope;
        std::vector<std::uint64_t> fencingNumbers; //!< Of each arrival.
    };
    struct Arrival
    {
        std::uint64_t fencingNumber = 0;
        std::int64_t atMs = 0;
        std::string orderId;
        bool refused = false;
    };

    auto create(const std::string &orderId, base::ObjectReader &body, base::TimePoint now) -> Order;
    auto release(const std::string &server, base::TimePoint now) -> void;
    auto setState(Vm &vm, const std::string &state, base::TimePoint now) -> void;
    auto publish(base::TimePoint now) -> void;
    auto toJson(const Vm &vm, const std::string &state) const -> boost::json::object;

    std::vector<PoolServer> m_pool;
    std::map<std::string, Vm> m_vms;
    std::deque<Change> m_changes;
    std::map<std::string, Listed> m_listed;
    std::uint64_t m_revision = 0;
    std::map<std::string, Order> m_orders;
    std::map<std::string, std::uint64_t> m_newestNumbers;   //!< By scope.
    std::map<std::string, std::vector<Arrival>> m_arrivals; //!< By scope.
    std::uint64_t m_stale = 0;
    std::size_t m_mostLive = 0;
    double m_dearSeconds = 0;
    double m_cheapSeconds = 0;
    CloudFaults m_faults;
};

} // namespace nutmegplank::standins
