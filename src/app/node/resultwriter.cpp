#include "app/node/resultwriter.h"

#include <boost/asio.hpp>

#include "app/node/partitions.h"
#include "process/clock/clock.h"
#include "process/logging/logging.h"
#include "process/logging/taskfailure.h"
#include "version/batch/batchcodec.h"

namespace nutmegplank::app::node {

namespace {

namespace asio = boost::asio;
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
//! Of a record and of a call, below the log's bounds with room for the rest of a record.
constexpr auto RECORD_TEXT = std::size_t(150'000);
constexpr auto CALL_TEXT = std::size_t(1'200'000);

} // namespace

ResultWriter::ResultWriter(asio::io_context &context, journal::IJournal &store,
                           version::batch::BulkPartitions &bulk,
                           process::metrics::Registry &metrics, std::function<void()> onFenced)
    : m_context(context)
    , m_journal(store)
    , m_bulk(bulk)
    , m_onFenced(std::move(onFenced))
    , m_recordsPerAppend(metrics.distribution("nutmegplank_result_records_per_append",
                                              "Records of results in one append."))
{ }

auto ResultWriter::begin(std::uint64_t fence) -> asio::awaitable<std::optional<std::uint64_t>>
{
    m_waiting.clear();
    m_progress.clear();
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
    m_waiting.clear();
    m_progress.clear();
}

auto ResultWriter::add(const std::string &batch, version::batch::Result result) -> void
{
    if (m_fence == 0)
        return;
    m_waiting[batch].push_back(std::move(result));
    startWriting();
}

auto ResultWriter::addProgress(const std::string &batch,
                               std::vector<version::batch::Progress> items) -> void
{
    if (m_fence == 0)
        return;
    auto &waiting = m_progress[batch];
    std::ranges::move(items, std::back_inserter(waiting));
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

auto ResultWriter::takeGroups() -> std::vector<Group>
{
    auto groups = std::vector<Group>();
    auto callBytes = std::size_t(0);
    while (!m_waiting.empty() && callBytes < CALL_TEXT) {
        auto &[batch, results] = *m_waiting.begin();
        auto group = Group { batch };
        auto bytes = std::size_t(0);
        while (!results.empty() && bytes < RECORD_TEXT) {
            bytes += results.back().text.size();
            group.results.push_back(std::move(results.back()));
            results.pop_back();
        }
        callBytes += bytes;
        groups.push_back(std::move(group));
        if (results.empty())
            m_waiting.erase(m_waiting.begin());
    }
    // Results go alone: they are waited for, and progress is not.
    if (!groups.empty())
        return groups;
    while (!m_progress.empty() && callBytes < CALL_TEXT) {
        auto &[batch, items] = *m_progress.begin();
        auto group = Group { batch };
        auto bytes = std::size_t(0);
        while (!items.empty() && bytes < RECORD_TEXT) {
            bytes += items.back().text.size();
            group.progress.push_back(std::move(items.back()));
            items.pop_back();
        }
        callBytes += bytes;
        groups.push_back(std::move(group));
        if (items.empty())
            m_progress.erase(m_progress.begin());
    }
    return groups;
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

//! Puts the texts into the bulk partitions; an append whose answer was lost is done again, since
//! what the index does not name does not count.
auto ResultWriter::storeTexts(std::uint64_t fence, std::vector<Group> groups)
    -> asio::awaitable<std::vector<std::string>>
{
    auto timer = asio::steady_timer(m_context);
    auto index = std::vector<std::string>();
    for (const auto &group : groups) {
        auto result = journal::AppendResult();
        auto place = version::batch::BulkPlace();
        while (m_fence == fence && result.outcome != AppendOutcome::Done) {
            auto records = std::vector<std::string>();
            records.push_back(group.results.empty()
                                  ? version::batch::encodeProgress(group.batch, group.progress)
                                  : version::batch::encodeResults(group.batch, group.results));
            place.partition =
                m_bulk.choose(group.batch, m_journal.limits().partitions, process::clock::now());
            result = co_await m_journal.appendUnconditionally(bulkPartition(place.partition),
                                                              std::move(records), APPEND_TIME);
            if (result.outcome == AppendOutcome::Done) {
                place.offset = result.offset;
                m_bulk.noteStored(place.partition);
                break;
            }
            m_bulk.noteFailed(place.partition, process::clock::now());
            logFailure("text", fence, result);
            timer.expires_after(RETRY);
            co_await timer.async_wait(USE_TUPLE);
        }
        if (m_fence != fence)
            break;
        index.push_back(group.results.empty()
                            ? version::batch::encodeListedProgress(group.batch, place)
                            : version::batch::encodeListed(group.batch, place, group.results));
    }
    co_return index;
}

auto ResultWriter::writeLoop(std::uint64_t fence) -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(m_context);
    while (m_fence == fence) {
        timer.expires_after(GATHER);
        co_await timer.async_wait(USE_TUPLE);
        auto groups = takeGroups();
        if (groups.empty())
            break;
        const auto index = co_await storeTexts(fence, std::move(groups));
        ++m_sequence;
        co_await writeIndex(fence, index);
    }
    m_writing = false;
    if (m_fence != 0 && (!m_waiting.empty() || !m_progress.empty()))
        startWriting();
}

auto ResultWriter::writeIndex(std::uint64_t fence, std::vector<std::string> records)
    -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(m_context);
    while (m_fence == fence) {
        const auto condition =
            journal::AppendCondition { {}, journal::Producer { PRODUCER, fence, m_sequence } };
        const auto result = co_await m_journal.append(partitionFor(PartitionUse::Index), records,
                                                      condition, APPEND_TIME);
        if (result.outcome == AppendOutcome::Done) {
            m_recordsPerAppend.record(static_cast<double>(records.size()));
            co_return;
        }
        logFailure("index", fence, result);
        if (result.outcome == AppendOutcome::Fenced) {
            m_fence = 0;
            m_onFenced();
            co_return;
        }
        // The same records under the same number: the log tells a repeat by it.
        if (result.outcome == AppendOutcome::Sequence)
            m_sequence = result.end;
        timer.expires_after(RETRY);
        co_await timer.async_wait(USE_TUPLE);
    }
}

} // namespace nutmegplank::app::node
