#include "version/journal/follower.h"

#include <boost/asio.hpp>

#include "base/status.h"
#include "process/clock/clock.h"
#include "process/clock/pause.h"
#include "process/logging/logging.h"
#include "process/logging/taskfailure.h"

namespace nutmegplank::version::journal {

namespace {

namespace asio = boost::asio;
namespace logging = process::logging;
using process::clock::pauseFor;

//! A record that its reader cannot handle must not end the reading of all later ones.
template <typename Record>
auto deliver(const std::function<void(const Record &, base::TimePoint)> &onRecord,
             const Record &record, const Partition &partition, base::TimePoint now) -> void
{
    try {
        onRecord(record, now);
    } catch (...) {
        logging::error("journal.record_failed",
                       { { "topic", partition.topic },
                         { "partition", partition.number },
                         { "offset", record.offset },
                         { "problem", logging::describeException(std::current_exception()) } });
    }
}

} // namespace

Follower::Follower(asio::io_context &context, IJournal &journal, FollowerOptions options,
                   FollowerHooks hooks)
    : m_context(context)
    , m_journal(journal)
    , m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_reachability(m_options.partition)
    , m_pauseTimer(context)
{ }

auto Follower::start(std::uint64_t from) -> void
{
    m_position = from;
    asio::co_spawn(m_context, run(), logging::LogTaskFailure("journal.follow"));
}

auto Follower::run() -> asio::awaitable<void>
{
    while (true) {
        const auto times = m_reachability.nextRead(m_options.wait, process::clock::now());
        const auto page = co_await m_journal.read(m_options.partition, m_position, times);
        const auto now = process::clock::now();
        if (!page.ok()) {
            m_reachability.noteFailure(page.status(), now);
            co_await pauseFor(m_reachability.backOff(now));
            continue;
        }
        m_reachability.noteAnswer(now);
        processPage(*page, now);
        if (m_caughtUp && m_options.pause.count() > 0)
            co_await pause();
    }
}

auto Follower::pause() -> asio::awaitable<void>
{
    if (std::exchange(m_readNow, false))
        co_return;
    m_pauseTimer.expires_after(m_options.pause);
    co_await m_pauseTimer.async_wait(asio::as_tuple(asio::use_awaitable));
    m_readNow = false;
}

auto Follower::readNow() -> void
{
    m_readNow = true;
    m_pauseTimer.cancel();
}

auto Follower::processPage(const Page &page, base::TimePoint now) -> void
{
    if (page.compacted) {
        logging::warning("journal.gap",
                         { { "topic", m_options.partition.topic },
                           { "expected", m_position },
                           { "first", page.first } });
        m_position = page.first;
        if (m_hooks.onGap)
            m_hooks.onGap(page.first, now);
        return;
    }
    for (const auto &record : page.records) {
        // Advance the position before the hook runs, since the hook may read it.
        m_position = record.offset + 1;
        deliver(m_hooks.onRecord, record, m_options.partition, now);
    }
    m_caughtUp = m_position >= page.end;
}

KeyedFollower::KeyedFollower(asio::io_context &context, IJournal &journal, FollowerOptions options,
                             KeyedFollowerHooks hooks)
    : m_context(context)
    , m_journal(journal)
    , m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_reachability(m_options.partition)
    , m_pauseTimer(context)
{ }

auto KeyedFollower::start() -> void
{
    asio::co_spawn(m_context, run(), logging::LogTaskFailure("journal.follow"));
}

auto KeyedFollower::run() -> asio::awaitable<void>
{
    auto needsSnapshot = true;
    while (true) {
        if (needsSnapshot)
            needsSnapshot = !co_await readSnapshot();
        else
            needsSnapshot = co_await readNext();
        if (!m_reachability.reachable())
            co_await pauseFor(m_reachability.backOff(process::clock::now()));
    }
}

auto KeyedFollower::readSnapshot() -> asio::awaitable<bool>
{
    const auto sentAt = process::clock::now();
    const auto snapshot = co_await m_journal.newest(m_options.partition.topic);
    const auto now = process::clock::now();
    if (!snapshot.ok()) {
        m_reachability.noteFailure(snapshot.status(), now);
        co_return false;
    }
    m_reachability.noteAnswer(now);
    auto keys = std::set<std::string>();
    m_readingSnapshot = true;
    for (const auto &record : snapshot->records) {
        keys.insert(record.key);
        deliver(m_hooks.onRecord, record, m_options.partition, now);
    }
    m_readingSnapshot = false;
    m_position = snapshot->end;
    m_complete = true;
    m_currentAsOf = sentAt;
    m_hooks.onSnapshot(keys, snapshot->end, now);
    co_return true;
}

//! Returns true if retention or compaction removed the requested records, so that a snapshot is
//! needed.
auto KeyedFollower::readNext() -> asio::awaitable<bool>
{
    const auto sentAt = process::clock::now();
    const auto times = m_reachability.nextRead(m_options.wait, sentAt);
    const auto page = co_await m_journal.read(m_options.partition, m_position, times);
    const auto now = process::clock::now();
    if (!page.ok()) {
        m_reachability.noteFailure(page.status(), now);
        co_return false;
    }
    m_reachability.noteAnswer(now);
    if (page->compacted)
        co_return true;
    for (const auto &record : page->records) {
        m_position = record.offset + 1;
        const auto keyed = parseKeyedRecord(record);
        if (keyed.has_value())
            deliver(m_hooks.onRecord, *keyed, m_options.partition, now);
        else
            logging::warning(
                "journal.malformed_record",
                { { "topic", m_options.partition.topic }, { "offset", record.offset } });
    }
    if (m_position >= page->end) {
        m_currentAsOf = sentAt;
        co_await pause();
    }
    co_return false;
}

auto KeyedFollower::pause() -> asio::awaitable<void>
{
    if (m_options.pause.count() == 0 || std::exchange(m_skipPause, false))
        co_return;
    m_pausing = true;
    m_pauseTimer.expires_after(m_options.pause);
    co_await m_pauseTimer.async_wait(asio::as_tuple(asio::use_awaitable));
    m_pausing = false;
}

auto KeyedFollower::readNow() -> void
{
    if (m_pausing)
        m_pauseTimer.cancel();
    else
        m_skipPause = true;
}

} // namespace nutmegplank::version::journal
