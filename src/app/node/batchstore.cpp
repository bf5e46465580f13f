#include "app/node/batchstore.h"

#include <boost/asio.hpp>

#include "app/node/partitions.h"
#include "base/text.h"
#include "process/clock/clock.h"
#include "process/logging/logging.h"
#include "version/batch/batchcodec.h"

namespace nutmegplank::app::node {

namespace {

namespace asio = boost::asio;
namespace journal = version::journal;
using version::batch::Batch;

constexpr auto USE_TUPLE = asio::as_tuple(asio::use_awaitable);
//! The log holds a read back for this long when there is nothing new.
constexpr auto LONG_POLL = std::chrono::milliseconds(1000);
//! An append takes some milliseconds, sixty times as many on a bad day.
constexpr auto APPEND_TIME = std::chrono::milliseconds(1500);
constexpr auto POSITION_CHECK = std::chrono::milliseconds(10);

} // namespace

BatchStore::BatchStore(asio::io_context &context, journal::IJournal &store, std::string process,
                       process::metrics::Registry &metrics)
    : m_context(context)
    , m_journal(store)
    , m_process(std::move(process))
    , m_log({ [this](const Batch &batch) {
                 process::logging::info("batch.read",
                                        { { "batch", batch.submission.id },
                                          { "items", batch.submission.items.size() },
                                          { "offset", m_follower.position() - 1 },
                                          { "held_bytes", m_log.bytes() } });
                 if (m_hooks.onAccepted)
                     m_hooks.onAccepted(batch);
                 wakeWaiters(batch.submission.id);
             },
              [this](const Batch &batch) {
                  if (m_hooks.onResults)
                      m_hooks.onResults(batch);
                  wakeWaiters(batch.submission.id);
              },
              [this](const Batch &batch) {
                  if (m_hooks.onEnded)
                      m_hooks.onEnded(batch);
                  wakeWaiters(batch.submission.id);
              } })
    , m_follower(context, store, { partitionFor(PartitionUse::Batches), LONG_POLL },
                 { [this](const journal::Record &record, base::TimePoint) { m_log.apply(record); } })
    , m_accepted(metrics.counter("nutmegplank_batches_kept_total", "Batches put into the log."))
{ }

auto BatchStore::start() -> void
{
    m_follower.start();
}

auto BatchStore::keep(version::batch::Submission submission)
    -> asio::awaitable<journal::AppendResult>
{
    const auto limits = m_journal.limits();
    const auto attempt = base::concat(m_process, "/", ++m_attempts);
    auto records = version::batch::encodeSubmission(submission, attempt, limits.recordBytes);
    auto result = journal::AppendResult();
    result.outcome = journal::AppendOutcome::NotDone;
    // Usually one call. A batch exists once its last part is in the log, so that a batch which
    // needs several calls is whole or not there.
    while (!records.empty()) {
        auto group = std::vector<std::string>();
        auto bytes = std::size_t(0);
        while (!records.empty() && (group.empty() || bytes + records.front().size() <= limits.callBytes)) {
            bytes += records.front().size();
            group.push_back(std::move(records.front()));
            records.erase(records.begin());
        }
        result = co_await m_journal.appendAlways(partitionFor(PartitionUse::Batches),
                                                 std::move(group), APPEND_TIME);
        if (result.outcome != journal::AppendOutcome::Done)
            co_return result;
    }
    m_accepted.add();
    co_return result;
}

auto BatchStore::end(std::string batchId) -> asio::awaitable<journal::AppendResult>
{
    auto records = std::vector<std::string> { version::batch::encodeEnd(batchId) };
    co_return co_await m_journal.appendAlways(partitionFor(PartitionUse::Batches),
                                              std::move(records), APPEND_TIME);
}

auto BatchStore::look(std::string batchId) -> asio::awaitable<Presence>
{
    if (m_log.find(batchId) != nullptr)
        co_return Presence::Known;
    const auto page = co_await m_journal.read(partitionFor(PartitionUse::Batches), position(),
                                              base::Duration(0));
    if (!page.ok() || page->compacted)
        co_return Presence::Unsure;
    const auto readAll = co_await waitForPosition(
        page->end, process::clock::now() + std::chrono::milliseconds(300));
    if (m_log.find(batchId) != nullptr)
        co_return Presence::Known;
    co_return readAll ? Presence::Absent : Presence::Unsure;
}

auto BatchStore::waitForChange(std::string batchId, base::TimePoint until) -> asio::awaitable<void>
{
    const auto timer =
        std::make_shared<asio::steady_timer>(m_context, until - process::clock::now());
    m_waiters[batchId].push_back(timer);
    co_await timer->async_wait(USE_TUPLE);
    const auto found = m_waiters.find(batchId);
    if (found == m_waiters.end())
        co_return;
    std::erase(found->second, timer);
    if (found->second.empty())
        m_waiters.erase(found);
}

auto BatchStore::waitForPosition(std::uint64_t offset, base::TimePoint until)
    -> asio::awaitable<bool>
{
    auto timer = asio::steady_timer(m_context);
    while (position() < offset) {
        if (process::clock::now() >= until)
            co_return false;
        timer.expires_after(POSITION_CHECK);
        co_await timer.async_wait(USE_TUPLE);
    }
    co_return true;
}

auto BatchStore::wakeWaiters(const std::string &batchId) -> void
{
    const auto found = m_waiters.find(batchId);
    if (found == m_waiters.end())
        return;
    const auto waiters = std::move(found->second);
    m_waiters.erase(found);
    for (const auto &waiter : waiters)
        waiter->cancel();
}

} // namespace nutmegplank::app::node
