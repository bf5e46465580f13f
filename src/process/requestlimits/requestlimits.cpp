#include "process/requestlimits/requestlimits.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "base/hash.h"
#include "process/logging/logging.h"
#include "process/requestlimits/limitshare.h"

namespace nutmegplank::process::requestlimits {

namespace {

constexpr auto UNLIMITED = std::numeric_limits<std::uint32_t>::max();
//! Lower limits count as this, in requests per second; otherwise the end of a limit of 0 could not
//! be noticed.
constexpr auto MIN_LIMIT = 0.25;
//! A machine may send what its share allows in this time at once.
constexpr auto BURST_SECONDS = 0.3;
//! Demand is measured over this time, which is longer than the pause between two training steps.
constexpr auto DEMAND_TIME = std::chrono::seconds(5);
//! Least demand of a machine that sends requests or holds them back, in requests per second. Small
//! differences between machines must not decide which of them may send.
constexpr auto MIN_DEMAND = 1.0;
constexpr auto ACTIVE_TIME = std::chrono::seconds(10);
//! Shares follow what others tell within this time.
constexpr auto UPDATE_INTERVAL = std::chrono::milliseconds(200);
//! While no server is limited, so that the number of machines is known when one is.
constexpr auto IDLE_UPDATE_INTERVAL = std::chrono::milliseconds(1000);
//! Accuracy with which the times of observations at different machines can be compared.
constexpr auto CLOCK_ACCURACY = std::chrono::milliseconds(300);
//! The others are told that a limit has ended for this time, several heartbeats.
constexpr auto TELL_END_TIME = std::chrono::seconds(5);
//! Observations are told to the others for this time.
constexpr auto TELL_LIMIT_TIME = std::chrono::seconds(60);
//! A limit of a server that nobody has sent a request to holds for this time.
constexpr auto MEMORY = std::chrono::minutes(10);
//! A change of this machine's rate by less is not logged.
constexpr auto LOGGED_RATE_CHANGE = 0.3;

auto keyOf(const std::string &server) -> std::uint64_t
{
    return base::hash64(server);
}

} // namespace

auto RequestLimits::findLimited(const std::string &server) const -> const Entry *
{
    if (m_entries.empty())
        return nullptr;
    const auto found = m_entries.find(keyOf(server));
    const auto limited = found != m_entries.end() && found->second.known.has_value()
        && found->second.known->perSecond.has_value();
    return limited ? &found->second : nullptr;
}

auto RequestLimits::allowanceAt(const Entry &entry, base::TimePoint now) -> double
{
    return std::min(entry.burst,
                    entry.allowance + entry.rate * base::toSeconds(now - entry.countedAt));
}

auto RequestLimits::startsLeft(const std::string &server, base::TimePoint now) const
    -> std::uint32_t
{
    const auto *entry = findLimited(server);
    if (entry == nullptr)
        return UNLIMITED;
    return static_cast<std::uint32_t>(std::max(0.0, allowanceAt(*entry, now)));
}

auto RequestLimits::mayCall(const std::string &server, base::TimePoint now) const -> bool
{
    const auto *entry = findLimited(server);
    return entry == nullptr || allowanceAt(*entry, now) >= 0;
}

auto RequestLimits::untilNextStart(const std::string &server, base::TimePoint now) const
    -> base::Duration
{
    const auto *entry = findLimited(server);
    if (entry == nullptr)
        return base::Duration(0);
    const auto missing = std::max(0.0, 1 - allowanceAt(*entry, now));
    if (entry->rate * base::toSeconds(DEMAND_TIME) <= missing)
        return DEMAND_TIME;
    return std::chrono::duration_cast<base::Duration>(
        std::chrono::duration<double>(missing / entry->rate));
}

auto RequestLimits::noteResponse(const std::string &server, std::optional<double> perSecond,
                                 base::TimePoint sentAt, base::TimePoint now) -> void
{
    const auto key = keyOf(server);
    const auto found = m_entries.find(key);
    if (!perSecond.has_value()) {
        // A request that was sent before the limit was named says nothing about its end.
        if (found == m_entries.end() || !found->second.known.has_value()
            || sentAt < found->second.known->at)
            return;
    }
    auto &entry = m_entries[key];
    entry.name = server;
    entry.own = LimitObservation { perSecond, now };
    observe(entry, *entry.own, now);
    updateShare(key, entry, now);
}

auto RequestLimits::observe(Entry &entry, const LimitObservation &observation, base::TimePoint now)
    -> void
{
    const auto former = entry.known.has_value() ? entry.known->perSecond : std::nullopt;
    entry.known = observation;
    if (!former.has_value()) {
        entry.allowance = 0;
        entry.countedAt = now;
    }
    if (observation.perSecond != former)
        logging::info("server.limit_named",
                      { { "server", entry.name },
                        { "limited", observation.perSecond.has_value() },
                        { "per_second", observation.perSecond.value_or(0) },
                        { "former_per_second", former.value_or(0) },
                        { "own", entry.own.has_value() && entry.own->at == observation.at },
                        { "age_ms", base::toMilliseconds(now - observation.at) } });
}

auto RequestLimits::noteSent(const std::string &server, base::TimePoint now) -> void
{
    if (findLimited(server) == nullptr)
        return;
    auto &entry = m_entries.at(keyOf(server));
    entry.allowance = allowanceAt(entry, now) - 1;
    entry.countedAt = now;
    entry.sent.push_back(now);
    entry.usedAt = now;
}

auto RequestLimits::noteHeldBack(const std::string &server, base::TimePoint now) -> void
{
    if (findLimited(server) != nullptr)
        m_entries.at(keyOf(server)).usedAt = now;
}

auto RequestLimits::forget(const std::string &server, base::TimePoint now) -> void
{
    const auto found = m_entries.find(keyOf(server));
    if (found == m_entries.end())
        return;
    found->second.known.reset();
    found->second.own.reset();
    found->second.forgottenAt = now;
}

auto RequestLimits::demandOf(Entry &entry, base::TimePoint now) -> double
{
    while (!entry.sent.empty() && now - entry.sent.front() >= DEMAND_TIME)
        entry.sent.pop_front();
    const auto sent = static_cast<double>(entry.sent.size()) / base::toSeconds(DEMAND_TIME);
    const auto isActive = entry.usedAt != base::TimePoint() && now - entry.usedAt < ACTIVE_TIME;
    return isActive ? std::max(sent, MIN_DEMAND) : 0;
}

auto RequestLimits::updateShare(std::uint64_t key, Entry &entry, base::TimePoint now) -> void
{
    if (!entry.known.has_value() || !entry.known->perSecond.has_value())
        return;
    auto users = std::vector<LimitUser> { { m_machine, entry.publishedDemand } };
    for (const auto &machine : m_machines) {
        if (machine == m_machine)
            continue;
        auto &user = users.emplace_back(LimitUser { machine });
        const auto told = m_told.find(machine);
        if (told == m_told.end())
            continue;
        const auto report = told->second.find(key);
        user.demand = report == told->second.end() ? 0 : report->second.demand;
    }
    const auto limit = std::max(MIN_LIMIT, *entry.known->perSecond);
    const auto machines = users.size();
    const auto share = limitShare(key, limit, std::move(users), m_machine);
    const auto rate = limit * share;
    const auto isChanged =
        std::abs(rate - entry.rate) > LOGGED_RATE_CHANGE * std::max(rate, entry.rate);
    if (isChanged && !entry.name.empty())
        logging::info("server.limit_share",
                      { { "server", entry.name },
                        { "per_second", *entry.known->perSecond },
                        { "own_per_second", rate },
                        { "own_demand", entry.publishedDemand },
                        { "machines", machines } });
    const auto burst = share > 0 ? std::max(1.0, BURST_SECONDS * rate) : 0;
    entry.allowance = std::min(burst, allowanceAt(entry, now));
    entry.countedAt = now;
    entry.rate = rate;
    entry.burst = burst;
}

auto RequestLimits::takeReports(base::TimePoint now) -> std::vector<LimitReport>
{
    auto reports = std::vector<LimitReport>();
    for (auto &[key, entry] : m_entries) {
        auto report = LimitReport { key };
        report.demand = entry.publishedDemand = demandOf(entry, now);
        if (entry.own.has_value()) {
            const auto tellTime = entry.own->perSecond.has_value() ? base::Duration(TELL_LIMIT_TIME)
                                                                   : base::Duration(TELL_END_TIME);
            if (now - entry.own->at < tellTime)
                report.observation = entry.own;
        }
        if (report.observation.has_value() || report.demand > 0)
            reports.push_back(report);
    }
    return reports;
}

auto RequestLimits::setReports(const std::string &machine, const std::vector<LimitReport> &reports,
                               base::TimePoint now) -> void
{
    const auto isOwn = machine == m_machine;
    if (reports.empty()) {
        m_told.erase(machine);
        return;
    }
    auto &told = m_told[machine];
    told.clear();
    for (const auto &report : reports) {
        if (!isOwn)
            told[report.server] = report;
        if (!report.observation.has_value())
            continue;
        const auto &observation = *report.observation;
        const auto found = m_entries.find(report.server);
        if (found == m_entries.end() && !observation.perSecond.has_value())
            continue;
        auto &entry = m_entries[report.server];
        const auto isNewer =
            !entry.known.has_value() || observation.at > entry.known->at + CLOCK_ACCURACY;
        if (!isNewer || observation.at < entry.forgottenAt || now - observation.at > MEMORY)
            continue;
        entry.own.reset();
        if (isOwn)
            entry.own = observation;
        observe(entry, observation, now);
        updateShare(report.server, entry, now);
    }
}

auto RequestLimits::needsUpdate(base::TimePoint now) const -> bool
{
    const auto interval =
        m_entries.empty() ? base::Duration(IDLE_UPDATE_INTERVAL) : base::Duration(UPDATE_INTERVAL);
    return now - m_updatedAt >= interval;
}

auto RequestLimits::update(std::vector<std::string> machines, base::TimePoint now) -> void
{
    m_updatedAt = now;
    m_machines = std::move(machines);
    expire(now);
    for (auto &[key, entry] : m_entries)
        updateShare(key, entry, now);
}

auto RequestLimits::expire(base::TimePoint now) -> void
{
    std::erase_if(m_entries, [now](const auto &item) {
        const auto &entry = item.second;
        if (!entry.known.has_value())
            return now - entry.forgottenAt > TELL_LIMIT_TIME;
        const auto age = now - entry.known->at;
        return age > (entry.known->perSecond.has_value() ? base::Duration(MEMORY)
                                                         : base::Duration(TELL_END_TIME));
    });
    std::erase_if(m_told, [this](const auto &item) {
        return item.first != m_machine
            && std::ranges::find(m_machines, item.first) == m_machines.end();
    });
}

} // namespace nutmegplank::process::requestlimits
