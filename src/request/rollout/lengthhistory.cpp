#include "request/rollout/lengthhistory.h"

#include <algorithm>
#include <array>
#include <span>

namespace nutmegplank::request::rollout {

namespace {

constexpr auto MAX_RATIOS = std::size_t(512);
//! Below this number the assumed ratios are used.
constexpr auto MIN_RATIOS = std::size_t(64);
//! Of a log-normal distribution with the median 1 and the spread 0.5.
constexpr auto ASSUMED_RATIOS =
    std::array { 0.44, 0.59, 0.70, 0.81, 0.91, 1.0, 1.10, 1.24, 1.42, 1.68, 2.27 };
//! Longer items than these are too rare to be compared with.
constexpr auto MIN_LONGER = std::ptrdiff_t(3);
//! An item beyond all known ones is assumed to generate this share of its text once more.
constexpr auto UNKNOWN_REST_SHARE = 0.5;

} // namespace

auto LengthHistory::noteLength(const std::string &route, double hintEvents, std::uint32_t events)
    -> void
{
    if (hintEvents <= 0 || events == 0)
        return;
    auto &history = m_histories[route];
    const auto ratio = events / hintEvents;
    history.ratios.push_back(ratio);
    history.sorted.insert(std::ranges::upper_bound(history.sorted, ratio), ratio);
    if (history.ratios.size() <= MAX_RATIOS)
        return;
    history.sorted.erase(std::ranges::lower_bound(history.sorted, history.ratios.front()));
    history.ratios.pop_front();
}

auto LengthHistory::remainingEvents(const std::string &route, double hintEvents,
                                    std::uint32_t producedEvents, double quantile) const -> double
{
    const auto produced = static_cast<double>(producedEvents);
    const auto found = m_histories.find(route);
    auto ratios = std::span<const double>(ASSUMED_RATIOS);
    if (found != m_histories.end() && found->second.sorted.size() >= MIN_RATIOS)
        ratios = found->second.sorted;
    const auto longer = std::ranges::upper_bound(ratios, produced / hintEvents);
    const auto longerCount = ratios.end() - longer;
    if (longerCount < MIN_LONGER)
        return std::max(1.0, produced * UNKNOWN_REST_SHARE);
    const auto position = static_cast<std::ptrdiff_t>(quantile * static_cast<double>(longerCount));
    const auto ratio = *(longer + std::min(position, longerCount - 1));
    return std::max(1.0, ratio * hintEvents - produced);
}

} // namespace nutmegplank::request::rollout
