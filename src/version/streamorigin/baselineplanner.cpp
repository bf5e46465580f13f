#include "version/streamorigin/baselineplanner.h"

#include <algorithm>

namespace nutmegplank::version::streamorigin {

namespace {

//! A baseline is closed when its version has been gone for this time, not for a moment only.
constexpr auto CLOSE_AFTER = base::Duration(std::chrono::seconds(10));

//! The version of most servers; empty if none is known.
auto mostCommon(const std::vector<std::string> &versions) -> std::string
{
    auto counts = std::map<std::string, std::size_t>();
    for (const auto &version : versions) {
        if (!version.empty())
            ++counts[version];
    }
    const auto most =
        std::ranges::max_element(counts, {}, [](const auto &count) { return count.second; });
    return most == counts.end() ? std::string() : most->first;
}

} // namespace

auto BaselinePlanner::observe(const VersionsByService &versions,
                              const BaselinesByService &baselines, base::TimePoint now) -> void
{
    for (const auto &[service, list] : versions) {
        const auto baseline = baselines.find(service);
        if (baseline == baselines.end() || !baseline->second.closing)
            seenOf(service).openAt = now;
        for (const auto &version : list)
            observeServer(service, version, baselines, now);
    }
}

auto BaselinePlanner::observeServer(const std::string &service, const std::string &software,
                                    const BaselinesByService &baselines, base::TimePoint now)
    -> void
{
    const auto baseline = baselines.find(service);
    auto &seen = seenOf(service);
    if (baseline != baselines.end() && software == baseline->second.software)
        seen.baselineAt = now;
    else
        seen.otherAt = now;
}

auto BaselinePlanner::noteGap(base::TimePoint now) -> void
{
    m_startedAt = now;
    for (auto &[service, seen] : m_seen)
        seen.otherAt = now;
}

auto BaselinePlanner::seenOf(const std::string &service) -> Seen &
{
    const auto start = Seen { m_startedAt, m_startedAt, m_startedAt };
    return m_seen.try_emplace(service, start).first->second;
}

auto BaselinePlanner::plan(const VersionsByService &versions, const BaselinesByService &baselines,
                           base::TimePoint now) const -> BaselinesByService
{
    auto planned = BaselinesByService();
    for (const auto &[service, list] : versions) {
        const auto candidate = mostCommon(list);
        if (candidate.empty())
            continue;
        const auto baseline = baselines.find(service);
        // Streams that began without a baseline are all recorded, so that any version may be first.
        if (baseline == baselines.end()) {
            planned[service] = { candidate };
            continue;
        }
        const auto known = m_seen.find(service);
        const auto seen =
            known == m_seen.end() ? Seen { m_startedAt, m_startedAt, m_startedAt } : known->second;
        if (baseline->second.closing) {
            if (now - seen.openAt >= TAKE_UP_TIME + BASELINE_LIFETIME)
                planned[service] = { candidate };
        } else if (now - seen.baselineAt >= CLOSE_AFTER) {
            planned[service] = { baseline->second.software, true };
        }
    }
    return planned;
}

auto BaselinePlanner::onlyBaseline(const std::string &service, base::TimePoint now) const -> bool
{
    const auto seen = m_seen.find(service);
    return seen != m_seen.end() && now - seen->second.otherAt >= TAKE_UP_TIME;
}

} // namespace nutmegplank::version::streamorigin
