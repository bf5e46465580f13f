#include "app/node/resultwriter.h"

#include <deque>
#include <iterator>

#include <boost/asio.hpp>

#include "app/node/partitions.h"
#include "base/text.h"
#include "process/clock/clock.h"
#include "process/logging/logging.h"
#include "process/logging/taskfailure.h"
#include "version/batch/batchcodec.h"

namespace nutmegplank::app::node {

namespace {

namespace asio = boost::asio;
namespace batch = version::batch;
namespace journal = version::journal;
namespace logging = process::logging;
using journal::AppendOutcome;

constexpr auto USE_TUPLE = asio::as_tuple(asio::use_awaitable);
constexpr auto PRODUCER = "conductor";
//! Results that finish within this time share an append, which takes 2 ms of the partition.
constexpr auto GATHER = std::chrono::milliseconds(15);
constexpr auto RETRY = std::chrono::milliseconds(60);
//! A repeat is harmless, so a silent connection is given up soon.
constexpr auto APPEND_TIME = std::chrono::milliseconds(800);
//! Appends of a single result that are rejected before it is given up.
constexpr auto MAX_REJECTIONS = 3;

} // namespace

ResultWriter::ResultWriter(asio::io_context &context, journal::IJournal &store,
                           version::batch::BulkPartitions &bulk,
                           process::metrics::Registry &metrics, ResultWriterHooks hooks)
    : m_context(context)
    , m_journal(store)
    , m_bulk(bulk)
    , m_hooks(std::move(hooks))
    , m_recordsPerAppend(metrics.distribution("nutmegplank_result_records_per_append",
                                              "Records of results in one append."))
    , m_rejected(metrics.counter("nutmegplank_rejected_results_total",
                                 "Results and progress that the log rejects for good."))
{ }

auto ResultWriter::begin(std::uint64_t fence) -> asio::awaitable<std::optional<std::uint64_t>>
{
    m_queue.clear();
    const auto condition =
        journal::AppendCondition { {}, journal::Producer { PRODUCER, fence, 0 } };
    const auto nothing = std::vector<std::string>();
    const auto result = co_await m_journal.append(partitionFor(PartitionUse::Index), nothing,
                                                  condition, APPEND_TIME);
    logging::info("results.epoch",
                  { { "fence", fence },
                    { "outcome", base::nameOf(journal::APPEND_OUTCOME_NAMES, result.outcome) },
                    { "end", result.end },
                    { "detail", result.detail } });
    if (result.outcome != AppendOutcome::Done)
        co_return std::nullopt;
    m_fence = fence;
    m_sequence = 0;
    co_return result.end;
}

auto ResultWriter::stop() -> void
{
    m_fence = 0;
    m_queue.clear();
}

auto ResultWriter::add(const std::string &batch, version::batch::Result result) -> void
{
    if (m_fence == 0)
        return;
    m_queue.add(batch, std::move(result));
    startWriting();
}

auto ResultWriter::addProgress(const std::string &batch,
                               std::vector<version::batch::Progress> items) -> void
{
    if (m_fence == 0)
        return;
    for (auto &item : items)
        m_queue.addProgress(batch, std::move(item));
    startWriting();
}

auto ResultWriter::startWriting() -> void
{
    if (!std::exchange(m_writing, true))
        asio::co_spawn(m_context, writeLoop(m_fence), logging::LogTaskFailure("results.write"));
}

auto ResultWriter::drain(base::TimePoint until) -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(m_context);
    while (m_writing && process::clock::now() < until) {
        timer.expires_after(GATHER);
        co_await timer.async_wait(USE_TUPLE);
    }
}

auto ResultWriter::logFailure(std::string_view step, std::uint64_t fence,
                              const journal::AppendResult &result) const -> void
{
    logging::warning("results.append_failed",
                     { { "step", step },
                       { "fence", fence },
                       { "sequence", m_sequence },
                       { "outcome", base::nameOf(journal::APPEND_OUTCOME_NAMES, result.outcome) },
                       { "detail", result.detail } });
}

//! The group's record, in a bulk partition; nullopt if the log rejects it or the lease is lost. An
//! append whose answer was lost is done again, since what the index does not name does not count.
auto ResultWriter::storeText(std::uint64_t fence, const batch::ResultGroup &group)
    -> asio::awaitable<std::optional<batch::BulkPlace>>
{
    auto timer = asio::steady_timer(m_context);
    auto place = batch::BulkPlace();
    auto rejections = 0;
    const auto limits = m_journal.limits();
    while (m_fence == fence) {
        auto records = std::vector<std::string>();
        records.push_back(group.results.empty() ? batch::encodeProgress(group.batch, group.progress)
                                                : batch::encodeResults(group.batch, group.results));
        auto result = journal::AppendResult();
        const auto bytes = records.front().size();
        if (bytes > limits.recordBytes) {
            result.outcome = AppendOutcome::Rejected;
            result.detail = base::concat("record of ", bytes, " bytes");
            rejections = MAX_REJECTIONS;
        } else {
            place.partition = m_bulk.choose(group.batch, limits.partitions, process::clock::now());
            result = co_await m_journal.appendUnconditionally(bulkPartition(place.partition),
                                                              std::move(records), APPEND_TIME);
        }
        if (result.outcome == AppendOutcome::Done) {
            place.offset = result.offset;
            m_bulk.noteStored(place.partition);
            co_return place;
        }
        logFailure("text", fence, result);
        if (result.outcome != AppendOutcome::Rejected)
            m_bulk.noteFailed(place.partition, process::clock::now());
        else if (group.size() > 1 || ++rejections >= MAX_REJECTIONS)
            co_return std::nullopt;
        timer.expires_after(RETRY);
        co_await timer.async_wait(USE_TUPLE);
    }
    co_return std::nullopt;
}

//! Groups that the log rejects are split, until what it rejects is a single entry.
auto ResultWriter::storeTexts(std::uint64_t fence, std::vector<batch::ResultGroup> groups)
    -> asio::awaitable<std::vector<Stored>>
{
    auto stored = std::vector<Stored>();
    auto waiting = std::deque<batch::ResultGroup>(std::make_move_iterator(groups.begin()),
                                                  std::make_move_iterator(groups.end()));
    while (!waiting.empty()) {
        auto group = std::move(waiting.front());
        waiting.pop_front();
        const auto place = co_await storeText(fence, group);
        if (m_fence != fence)
            break;
        if (!place.has_value() && group.size() > 1) {
            auto [first, second] = batch::splitGroup(std::move(group));
            waiting.push_front(std::move(second));
            waiting.push_front(std::move(first));
            continue;
        }
        if (!place.has_value()) {
            giveUp(group, "text");
            continue;
        }
        auto index = group.results.empty()
            ? batch::encodeListedProgress(group.batch, *place)
            : batch::encodeListed(group.batch, *place, group.results);
        for (auto &result : group.results)
            result.text = std::string();
        for (auto &progress : group.progress)
            progress.text = std::string();
        stored.push_back({ std::move(group), std::move(index) });
    }
    co_return stored;
}

//! Only its own items are held up by what the log rejects. Progress is not owed.
auto ResultWriter::giveUp(const batch::ResultGroup &group, std::string_view step) -> void
{
    for (const auto &result : group.results) {
        m_rejected.add();
        logging::error("results.rejected",
                       { { "step", step },
                         { "batch", batch::idOf(group.batch) },
                         { "item", result.itemId },
                         { "bytes", result.text.size() } });
        m_hooks.onRejected(group.batch, result.item);
    }
    for (const auto &progress : group.progress) {
        m_rejected.add();
        logging::warning("results.progress_rejected",
                         { { "step", step },
                           { "batch", batch::idOf(group.batch) },
                           { "item_index", progress.item },
                           { "bytes", progress.text.size() } });
    }
}

auto ResultWriter::writeLoop(std::uint64_t fence) -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(m_context);
    while (m_fence == fence) {
        timer.expires_after(GATHER);
        co_await timer.async_wait(USE_TUPLE);
        auto groups = m_queue.take(m_journal.limits(), process::clock::now());
        if (groups.empty())
            break;
        auto stored = co_await storeTexts(fence, std::move(groups));
        co_await writeIndex(fence, std::move(stored));
    }
    m_writing = false;
    if (m_fence != 0 && !m_queue.empty())
        startWriting();
}

auto ResultWriter::writeIndex(std::uint64_t fence, std::vector<Stored> stored)
    -> asio::awaitable<void>
{
    if (stored.empty())
        co_return;
    auto records = std::vector<std::string>();
    for (const auto &entry : stored)
        records.push_back(entry.index);
    const auto written = co_await appendIndex(fence, std::move(records));
    if (written || m_fence != fence)
        co_return;
    // One of them is rejected: alone, it holds up no other.
    for (const auto &entry : stored) {
        auto record = std::vector<std::string> { entry.index };
        const auto writtenAlone = co_await appendIndex(fence, std::move(record));
        if (m_fence != fence)
            co_return;
        if (!writtenAlone)
            giveUp(entry.group, "index");
    }
}

//! Returns false if the log rejects the records or the lease is lost.
auto ResultWriter::appendIndex(std::uint64_t fence, std::vector<std::string> records)
    -> asio::awaitable<bool>
{
    auto timer = asio::steady_timer(m_context);
    auto rejections = 0;
    while (m_fence == fence) {
        const auto condition =
            journal::AppendCondition { {}, journal::Producer { PRODUCER, fence, m_sequence + 1 } };
        const auto result = co_await m_journal.append(partitionFor(PartitionUse::Index), records,
                                                      condition, APPEND_TIME);
        if (result.outcome == AppendOutcome::Done) {
            ++m_sequence;
            m_recordsPerAppend.record(static_cast<double>(records.size()));
            co_return true;
        }
        logFailure("index", fence, result);
        if (result.outcome == AppendOutcome::Fenced) {
            m_fence = 0;
            m_hooks.onFenced();
            co_return false;
        }
        if (result.outcome == AppendOutcome::Rejected
            && (records.size() > 1 || ++rejections >= MAX_REJECTIONS))
            co_return false;
        // The same records under the same number: the log tells a repeat by it.
        if (result.outcome == AppendOutcome::Sequence && result.end > 0)
            m_sequence = result.end - 1;
        timer.expires_after(RETRY);
        co_await timer.async_wait(USE_TUPLE);
    }
    co_return false;
}

} // namespace nutmegplank::app::node
