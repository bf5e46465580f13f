#include "request/forward/poisonrequestdetector.h"

#include <algorithm>

#include "base/hash.h"
#include "base/text.h"
#include "process/logging/logging.h"

namespace nutmegplank::request::forward {

namespace {

//! Two crashes may be coincidence; a third is taken as caused by the request.
constexpr auto CRASHES_TO_REFUSE = std::size_t(3);
//! A request is refused for this long after the last crash that a machine saw.
constexpr auto CRASH_RETENTION = std::chrono::seconds(120);
//! A server that ended is back some seconds later; its new record is read by then.
constexpr auto EVIDENCE_TIME = std::chrono::seconds(15);
//! A request that was answered so lately is not why a server ends.
constexpr auto ANSWER_MEMORY = std::chrono::seconds(60);
constexpr auto ANSWER_SLOTS = std::size_t(2048);
constexpr auto MAX_OPEN_LOSSES = std::size_t(256);

//! Breaks at one process within this are of the same end; a server takes longer to come back.
constexpr auto SAME_END = std::chrono::seconds(1);

auto processOf(const std::string &server, std::int64_t incarnation, std::uint32_t earlierEnds)
    -> std::uint64_t
{
    return base::hash64(base::concat(server, "#", incarnation, "#", earlierEnds));
}

} // namespace

PoisonRequestDetector::PoisonRequestDetector(std::function<void()> onChange)
    : m_onChange(std::move(onChange))
    , m_answers(ANSWER_SLOTS)
{ }

auto PoisonRequestDetector::Entry::newest() const -> base::TimePoint
{
    auto newest = answeredAt.value_or(base::TimePoint());
    for (const auto &[process, crash] : crashes)
        newest = std::max(newest, crash.at);
    return newest;
}

auto PoisonRequestDetector::fingerprintOf(std::string_view workspace, std::string_view path,
                                          std::string_view body) -> std::string
{
    return base::sha256Hex(base::concat(workspace, "\n", path, "\n", body)).substr(0, 32);
}

auto PoisonRequestDetector::isPoison(const std::string &fingerprint, base::TimePoint now) const
    -> bool
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end())
        return false;
    const auto &entry = found->second;
    return entry.crashes.size() >= CRASHES_TO_REFUSE && now < entry.newest() + CRASH_RETENTION;
}

auto PoisonRequestDetector::answerSlot(const std::string &fingerprint) const -> std::size_t
{
    return base::hash64(fingerprint) % m_answers.size();
}

auto PoisonRequestDetector::wasAnsweredSince(const std::string &fingerprint,
                                             base::TimePoint time) const -> bool
{
    const auto &answer = m_answers[answerSlot(fingerprint)];
    return answer.request == base::hash64(fingerprint) && answer.at >= time;
}

auto PoisonRequestDetector::recordLoss(const std::string &fingerprint, const std::string &server,
                                       std::int64_t incarnation, base::TimePoint now) -> void
{
    if (m_losses.size() < MAX_OPEN_LOSSES)
        m_losses.push_back({ fingerprint, server, incarnation, now });
}

auto PoisonRequestDetector::noteProcessEnded(const std::string &server, std::int64_t incarnation,
                                             base::TimePoint now) -> void
{
    const auto isOfProcess = [&](const Loss &loss) {
        return loss.server == server && loss.incarnation == incarnation;
    };
    const auto ofOthers = std::stable_partition(
        m_losses.begin(), m_losses.end(), [&](const Loss &loss) { return !isOfProcess(loss); });
    const auto losses = std::vector<Loss>(ofOthers, m_losses.end());
    m_losses.erase(ofOthers, m_losses.end());
    for (const auto &loss : losses)
        countCrash(loss, now);
}

auto PoisonRequestDetector::countCrash(const Loss &loss, base::TimePoint now) -> void
{
    if (now >= loss.at + EVIDENCE_TIME
        || wasAnsweredSince(loss.fingerprint, loss.at - ANSWER_MEMORY))
        return;
    auto &entry = m_entries[loss.fingerprint];
    if (entry.answeredAt.has_value() && loss.at <= *entry.answeredAt)
        return;
    // A server that is back while the store is away still has its former incarnation here. Ends
    // that several machines saw are counted by the machine that saw most of them.
    auto earlierEnds = std::uint32_t(0);
    auto process = processOf(loss.server, loss.incarnation, earlierEnds);
    auto known = entry.crashes.find(process);
    while (known != entry.crashes.end() && known->second.seenHere) {
        if (loss.at < known->second.at + SAME_END)
            return;
        process = processOf(loss.server, loss.incarnation, ++earlierEnds);
        known = entry.crashes.find(process);
    }
    entry.crashes[process] = { loss.at, true };
    process::logging::warning("request.crash_suspected",
                              { { "fingerprint", loss.fingerprint },
                                { "server", loss.server },
                                { "incarnation", loss.incarnation },
                                { "crashes", entry.crashes.size() } });
    if (m_onChange)
        m_onChange();
}

auto PoisonRequestDetector::noteProcessAlive(const std::string &server, base::TimePoint sentAt)
    -> void
{
    std::erase_if(m_losses,
                  [&](const Loss &loss) { return loss.server == server && loss.at < sentAt; });
}

auto PoisonRequestDetector::clearUntil(Entry &entry, base::TimePoint answeredAt) -> void
{
    if (entry.answeredAt.has_value() && *entry.answeredAt >= answeredAt)
        return;
    entry.answeredAt = answeredAt;
    std::erase_if(entry.crashes,
                  [answeredAt](const auto &crash) { return crash.second.at <= answeredAt; });
}

auto PoisonRequestDetector::recordAnswer(const std::string &fingerprint, base::TimePoint now)
    -> void
{
    m_answers[answerSlot(fingerprint)] = { base::hash64(fingerprint), now };
    std::erase_if(m_losses, [&](const Loss &loss) { return loss.fingerprint == fingerprint; });
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || found->second.crashes.empty())
        return;
    clearUntil(found->second, now);
    found->second.answeredHere = true;
    process::logging::info("request.crash_suspicion_cleared", { { "fingerprint", fingerprint } });
    if (m_onChange)
        m_onChange();
}

auto PoisonRequestDetector::hear(const RequestReport &report, base::TimePoint now) -> void
{
    auto &entry = m_entries[report.fingerprint];
    if (report.answeredAt.has_value() && now < *report.answeredAt + CRASH_RETENTION)
        clearUntil(entry, *report.answeredAt);
    for (const auto &[process, at] : report.crashes) {
        const auto isOver = now >= at + CRASH_RETENTION;
        if (isOver || (entry.answeredAt.has_value() && at <= *entry.answeredAt))
            continue;
        // What was told before must not become younger by being told again.
        const auto [known, isNew] = entry.crashes.try_emplace(process, Crash { at, false });
        if (!isNew)
            known->second.at = std::min(known->second.at, at);
    }
    if (entry.crashes.empty() && !entry.answeredAt.has_value())
        m_entries.erase(report.fingerprint);
}

auto PoisonRequestDetector::reports(base::TimePoint now) const -> std::vector<RequestReport>
{
    auto reports = std::vector<RequestReport>();
    for (const auto &[fingerprint, entry] : m_entries) {
        if (now >= entry.newest() + CRASH_RETENTION)
            continue;
        auto report = RequestReport { fingerprint };
        for (const auto &[process, crash] : entry.crashes) {
            if (crash.seenHere)
                report.crashes.push_back({ process, crash.at });
        }
        if (entry.answeredHere)
            report.answeredAt = entry.answeredAt;
        if (!report.crashes.empty() || report.answeredAt.has_value())
            reports.push_back(std::move(report));
    }
    return reports;
}

auto PoisonRequestDetector::expire(base::TimePoint now) -> void
{
    std::erase_if(m_losses, [now](const Loss &loss) { return now >= loss.at + EVIDENCE_TIME; });
    std::erase_if(m_entries, [now](const auto &entry) {
        return now >= entry.second.newest() + CRASH_RETENTION;
    });
}

} // namespace nutmegplank::request::forward
