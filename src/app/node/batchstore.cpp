#include "app/node/batchstore.h"

#include <boost/asio.hpp>

#include "app/node/partitions.h"
#include "base/status.h"
#include "base/text.h"
#include "process/clock/clock.h"
#include "process/logging/logging.h"
#include "version/batch/batchcodec.h"
#include "version/batch/newestprogress.h"

namespace nutmegplank::app::node {

namespace {

namespace asio = boost::asio;
namespace journal = version::journal;
using journal::AppendOutcome;
using version::batch::Batch;

constexpr auto USE_TUPLE = asio::as_tuple(asio::use_awaitable);
//! The log holds a read back for this long when there is nothing new.
constexpr auto LONG_POLL = std::chrono::milliseconds(1000);
//! An append takes some milliseconds, sixty times as many on a bad day.
constexpr auto APPEND_TIME = std::chrono::milliseconds(1500);
//! Bulk records may be written twice, so that a silent partition is given up sooner.
constexpr auto BULK_TIME = std::chrono::milliseconds(800);
//! Partitions that are tried one after the other for one batch.
constexpr auto BULK_TRIES = 3;
//! An answer to a long poll may be this late before the log counts as silent.
constexpr auto POLL_MARGIN = std::chrono::milliseconds(400);
//! Bytes that a record or a result costs beside its content, at most.
constexpr auto RECORD_OVERHEAD = std::size_t(256);
//! Batches whose items are held in memory, for reads of bodies.
constexpr auto RECENT_SUBMISSIONS = std::size_t(3);
//! The follower reads what a read of its own has found within this.
constexpr auto READ_TO_END = std::chrono::milliseconds(300);
constexpr auto POSITION_CHECK = std::chrono::milliseconds(10);

} // namespace

BatchStore::BatchStore(asio::io_context &context, journal::IJournal &store, std::string process,
                       process::metrics::Registry &metrics)
    : m_context(context)
    , m_journal(store)
    , m_process(std::move(process))
    , m_log({ [this](const Batch &batch) {
                 process::logging::info("batch.read",
                                        { { "batch", batch.head.id },
                                          { "workspace", batch.head.owner.workspace },
                                          { "items", batch.itemCount() },
                                          { "offset", m_follower.position() - 1 } });
                 if (m_hooks.onAccepted)
                     m_hooks.onAccepted(batch);
                 wakeWaiters(batch.head.id);
             },
              [this](const Batch &batch) {
                  if (m_hooks.onResults)
                      m_hooks.onResults(batch);
                  wakeWaiters(batch.head.id);
              },
              [this](const Batch &batch) {
                  if (m_hooks.onEnded)
                      m_hooks.onEnded(batch);
                  wakeWaiters(batch.head.id);
              } })
    , m_follower(
          context, store, { partitionFor(PartitionUse::Index), LONG_POLL },
          { [this](const journal::Record &record, base::TimePoint) { m_log.apply(record); } })
    , m_accepted(metrics.counter("nutmegplank_batches_kept_total", "Batches put into the log."))
    , m_bulkReads(metrics.counter("nutmegplank_bulk_reads_total",
                                  "Reads of bodies and texts from the log."))
{ }

auto BatchStore::start() -> void
{
    m_follower.start();
}

auto BatchStore::current(base::TimePoint now) const -> bool
{
    const auto &reachability = m_follower.reachability();
    return caughtUp() && reachability.reachable()
        && now - reachability.answeredAt() < LONG_POLL + POLL_MARGIN;
}

//! Usually one call. Records count only once the index names them, so that a batch which needs
//! several calls is whole or not there. Gives the place of the first record.
auto BatchStore::storeBulk(const std::string &batchKey, std::vector<std::string> records)
    -> asio::awaitable<StoredBulk>
{
    const auto limits = m_journal.limits();
    const auto number = m_bulk.choose(batchKey, limits.partitions, process::clock::now());
    auto first = std::optional<std::uint64_t>();
    auto result = journal::AppendResult();
    auto next = records.begin();
    while (next != records.end()) {
        auto group = std::vector<std::string>();
        auto bytes = std::size_t(0);
        while (next != records.end()
               && (group.empty() || bytes + next->size() < limits.callBytes)) {
            bytes += next->size() + RECORD_OVERHEAD;
            group.push_back(std::move(*next));
            ++next;
        }
        result = co_await m_journal.appendUnconditionally(bulkPartition(number), std::move(group),
                                                          BULK_TIME);
        if (result.outcome != AppendOutcome::Done) {
            m_bulk.noteFailed(number, process::clock::now());
            co_return StoredBulk { std::move(result) };
        }
        if (!first.has_value())
            first = result.offset;
    }
    m_bulk.noteStored(number);
    co_return StoredBulk { std::move(result), { number, first.value_or(0) } };
}

auto BatchStore::keep(SubmissionPtr kept) -> asio::awaitable<journal::AppendResult>
{
    const auto attempt = base::concat(m_process, "/", ++m_attempts);
    auto stored = StoredBulk();
    for (auto tries = 0; tries < BULK_TRIES && stored.result.outcome != AppendOutcome::Done;
         ++tries) {
        auto records =
            version::batch::encodeSubmission(*kept, attempt, m_journal.limits().recordBytes);
        stored = co_await storeBulk(kept->head.key(), std::move(records));
        // A refusal costs nothing and may hold for the whole log; silence is of one partition.
        if (stored.result.outcome == AppendOutcome::NotWritten
            || stored.result.outcome == AppendOutcome::Rejected)
            break;
    }
    if (stored.result.outcome != AppendOutcome::Done) {
        // Without an index record there is no batch, whatever became of its parts.
        stored.result.outcome = AppendOutcome::NotWritten;
        co_return stored.result;
    }
    auto index =
        std::vector<std::string> { version::batch::encodeAccepted(*kept, stored.place, attempt) };
    const auto result = co_await m_journal.appendUnconditionally(partitionFor(PartitionUse::Index),
                                                                 std::move(index), APPEND_TIME);
    if (result.outcome == AppendOutcome::Done) {
        m_accepted.add();
        remember(kept);
    }
    co_return result;
}

auto BatchStore::remember(SubmissionPtr submission) -> void
{
    m_recent.push_front(std::move(submission));
    if (m_recent.size() > RECENT_SUBMISSIONS)
        m_recent.pop_back();
}

auto BatchStore::loadSubmission(std::string batchKey)
    -> asio::awaitable<absl::StatusOr<SubmissionPtr>>
{
    const auto *batch = m_log.find(batchKey);
    if (batch == nullptr)
        co_return absl::NotFoundError("no such batch");
    for (const auto &recent : m_recent) {
        if (recent->head.key() == batchKey)
            co_return recent;
    }
    const auto partition = bulkPartition(batch->place.partition);
    auto assembler = version::batch::SubmissionAssembler(batch->head.id, batch->attempt);
    auto offset = batch->place.offset;
    while (!assembler.complete()) {
        m_bulkReads.add();
        auto page = co_await m_journal.read(partition, offset, journal::ReadTimes());
        if (!page.ok())
            co_return page.status();
        if (page->records.empty())
            co_return absl::DataLossError("the batch's items are no longer in the log");
        for (const auto &record : page->records)
            assembler.addRecord(record.data);
        offset = page->records.back().offset + 1;
    }
    auto submission = assembler.finish();
    if (!submission.has_value())
        co_return absl::DataLossError("the batch's items cannot be read");
    auto shared = std::make_shared<const version::batch::Submission>(std::move(*submission));
    remember(shared);
    co_return SubmissionPtr(shared);
}

auto BatchStore::loadProgress(std::string batchKey)
    -> asio::awaitable<std::vector<version::batch::Progress>>
{
    auto progress = version::batch::NewestProgress();
    const auto *batch = m_log.find(batchKey);
    if (batch == nullptr || batch->progress.empty())
        co_return progress.take();
    const auto places = batch->progress;
    auto cached = CachedPage();
    for (const auto &place : places) {
        const auto record = co_await loadRecord(cached, place);
        if (!record.ok()) {
            process::logging::warning("batch.progress_unread",
                                      { { "batch", version::batch::idOf(batchKey) },
                                        { "partition", place.partition },
                                        { "offset", place.offset },
                                        { "problem", base::describe(record.status()) } });
            co_return progress.take();
        }
        auto kept = version::batch::decodeProgress((*record)->data, batchKey);
        if (kept.has_value())
            progress.add(std::move(*kept));
    }
    co_return progress.take();
}

auto BatchStore::CachedPage::holds(const version::batch::BulkPlace &place) const -> bool
{
    return partition == place.partition
        && std::ranges::find(page.records, place.offset, &journal::Record::offset)
        != page.records.end();
}

//! The record at \a place, from \a cached or by a read that replaces it: records that were written
//! one after the other are read together. Valid for as long as \a cached is.
auto BatchStore::loadRecord(CachedPage &cached, version::batch::BulkPlace place)
    -> asio::awaitable<absl::StatusOr<const journal::Record *>>
{
    if (!cached.holds(place)) {
        m_bulkReads.add();
        auto read = co_await m_journal.read(bulkPartition(place.partition), place.offset,
                                            journal::ReadTimes());
        if (!read.ok())
            co_return read.status();
        if (read->compacted || read->records.empty())
            co_return absl::DataLossError("the record is no longer in the log");
        cached = CachedPage { place.partition, std::move(*read) };
    }
    const auto found =
        std::ranges::find(cached.page.records, place.offset, &journal::Record::offset);
    co_return std::to_address(found);
}

auto BatchStore::loadResults(std::string batchKey, std::uint64_t position, std::size_t mostBytes)
    -> asio::awaitable<absl::StatusOr<std::vector<version::batch::Result>>>
{
    auto results = std::vector<version::batch::Result>();
    auto bytes = std::size_t(0);
    auto cached = CachedPage();
    while (true) {
        const auto *batch = m_log.find(batchKey);
        if (batch == nullptr || position >= batch->listedCount)
            co_return results;
        const auto after = std::ranges::upper_bound(batch->groups, position, {},
                                                    &version::batch::ListedGroup::firstPosition);
        const auto group = *std::prev(after);
        if (bytes >= mostBytes && !cached.holds(group.place))
            co_return results;
        const auto record = co_await loadRecord(cached, group.place);
        if (!record.ok())
            co_return record.status();
        auto stored = version::batch::decodeResults((*record)->data, batchKey);
        if (!stored.has_value())
            co_return absl::DataLossError("results cannot be read");
        for (auto index = position - group.firstPosition; index < group.kept.size(); ++index) {
            auto &result = (*stored)[group.kept[index]];
            if (!results.empty() && bytes + result.text.size() > mostBytes)
                co_return results;
            bytes += result.text.size() + RECORD_OVERHEAD;
            results.push_back(std::move(result));
            ++position;
        }
    }
}

auto BatchStore::end(std::string batchKey) -> asio::awaitable<journal::AppendResult>
{
    auto records = std::vector<std::string> { version::batch::encodeEnd(batchKey) };
    co_return co_await m_journal.appendUnconditionally(partitionFor(PartitionUse::Index),
                                                       std::move(records), APPEND_TIME);
}

auto BatchStore::readToEnd() -> asio::awaitable<bool>
{
    const auto page = co_await m_journal.read(partitionFor(PartitionUse::Index), position(),
                                              journal::ReadTimes());
    if (!page.ok() || page->compacted)
        co_return false;
    co_return co_await waitForPosition(page->end, process::clock::now() + READ_TO_END);
}

auto BatchStore::waitForChange(std::string id, base::TimePoint until) -> asio::awaitable<void>
{
    const auto timer =
        std::make_shared<asio::steady_timer>(m_context, until - process::clock::now());
    m_waiters[id].push_back(timer);
    co_await timer->async_wait(USE_TUPLE);
    const auto found = m_waiters.find(id);
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

auto BatchStore::wakeWaiters(const std::string &id) -> void
{
    const auto found = m_waiters.find(id);
    if (found == m_waiters.end())
        return;
    const auto waiters = std::move(found->second);
    m_waiters.erase(found);
    for (const auto &waiter : waiters)
        waiter->cancel();
}

} // namespace nutmegplank::app::node
