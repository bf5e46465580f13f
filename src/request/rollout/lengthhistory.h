#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace nutmegplank::request::rollout {

//! Learns for each route how the lengths of complete items relate to their callers' hints, and
//! estimates from that what an item still has to generate. Hints are right only at the median, so
//! an item that has exceeded its hint is compared with those that did the same.
class LengthHistory
{
public:
    //! An item with the hint \a hintEvents is complete after \a events.
    auto noteLength(const std::string &route, double hintEvents, std::uint32_t events) -> void;
    //! Events that the item still has to generate, not exceeded with the probability \a quantile.
    //! At least one, as the item is not complete.
    auto remainingEvents(const std::string &route, double hintEvents, std::uint32_t producedEvents,
                         double quantile) const -> double;

private:
    struct History
    {
        std::deque<double> ratios;  //!< Length over hint, newest last.
        std::vector<double> sorted; //!< The same in ascending order.
    };

    std::map<std::string, History> m_histories;
};

} // namespace nutmegplank::request::rollout
