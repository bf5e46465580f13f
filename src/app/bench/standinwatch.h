#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/json/object.hpp>

#include "benchsettings.h"

namespace nutmegplank::app::bench {

//! Backend server time of a run by kind, in seconds.
struct Spending
{
    double engineSeconds = 0;
    double plainSeconds = 0;
    double cheapSeconds = 0;
    double dearSeconds = 0;
};

//! What the stand-ins have counted.
struct StandinCounts
{
    std::uint64_t generatedTokens = 0;
    std::uint64_t engineRestarts = 0;
    std::uint64_t usageWindows = 0;
    std::uint64_t usageWrong = 0; //!< Differing figures, or reports under an old fencing number.
    std::uint64_t keysSeen = 0;
    std::uint64_t ordersRunTwice = 0;
};

//! Watches the stand-ins during a run and pokes them at the scenario's times.
class StandinWatch
{
public:
    explicit StandinWatch(const BenchSettings &settings);

    //! Adds up the time of live backend servers until stop().
    auto meterSpending() -> boost::asio::awaitable<void>;
    //! Carries out the scenario's actions.
    auto act(std::vector<Action> actions) -> boost::asio::awaitable<void>;
    auto readCounts() -> boost::asio::awaitable<StandinCounts>;
    auto stop() -> void { m_stopped = true; }

    auto spending() const -> const Spending & { return m_spending; }

private:
    auto addLive(const boost::json::object &stats, double seconds) -> void;
    auto carryOut(const Action &action) -> boost::asio::awaitable<void>;

    const BenchSettings &m_settings;
    Spending m_spending;
    bool m_stopped = false;
};

} // namespace nutmegplank::app::bench
