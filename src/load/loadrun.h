#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <boost/json/object.hpp>

#include "load/orderclient.h"
#include "load/trainerclient.h"

namespace nutmegplank::load {

//! Trainers and order desks that run beside each other.
class LoadRun
{
public:
    LoadRun(boost::asio::io_context &context, std::vector<std::string> gateways,
            std::uint64_t seed);

    auto addTrainer(TrainerPlan plan) -> void;
    auto addOrders(OrderPlan plan) -> void;
    //! Runs after each step of a trainer, on the strand of the run.
    auto onStep(std::function<void(const TrainerClient &, std::uint32_t)> handler) -> void
    {
        m_onStep = std::move(handler);
    }
    //! Starts all; \a onEnd runs once when the last has ended or \a deadline has passed.
    auto start(base::TimePoint deadline, std::function<void()> onEnd) -> void;

    auto trainers() const -> const std::vector<std::unique_ptr<TrainerClient>> &
    {
        return m_trainers;
    }
    auto desks() const -> const std::vector<std::unique_ptr<OrderClient>> & { return m_desks; }
    //! Sums over all trainers.
    auto trainerSums() const -> TrainerCounts;
    //! Sums over all desks that send orders.
    auto orderSums() const -> OrderCounts;
    //! All counts of the run as one JSON object.
    auto summary() const -> boost::json::object;

private:
    auto spawn(std::function<boost::asio::awaitable<void>()> part) -> void;

    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    std::uint64_t m_seed;
    std::vector<std::string> m_gateways;
    std::vector<std::unique_ptr<TrainerClient>> m_trainers;
    std::vector<std::unique_ptr<OrderClient>> m_desks;
    std::function<void(const TrainerClient &, std::uint32_t)> m_onStep;
    std::function<void()> m_onEnd;
    std::size_t m_open = 0;
};

} // namespace nutmegplank::load
