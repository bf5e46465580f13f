#include "app/node/streamorigins.h"

#include <boost/asio.hpp>

#include "app/node/partitions.h"
#include "base/status.h"
#include "process/clock/clock.h"
#include "process/clock/pause.h"
#include "process/logging/logging.h"
#include "process/logging/taskfailure.h"
#include "version/streamorigin/origincodec.h"

namespace nutmegplank::app::node {

namespace {

namespace asio = boost::asio;
namespace journal = version::journal;
namespace logging = process::logging;
using process::clock::pauseFor;
using version::streamorigin::LogView;
using version::streamorigin::RecordSource;
using version::streamorigin::StreamOrigin;

constexpr auto USE_TUPLE = asio::as_tuple(asio::use_awaitable);
//! Well within BASELINE_LIFETIME.
constexpr auto BASELINE_INTERVAL = std::chrono::seconds(2);
constexpr auto APPEND_TIME = std::chrono::milliseconds(400);
//! A caller waits for its stream meanwhile; the log answers in some milliseconds.
constexpr auto RECORD_TIME = std::chrono::milliseconds(500);
constexpr auto FIND_TIME = std::chrono::milliseconds(600);
constexpr auto READ_TIMES =
    journal::ReadTimes { base::Duration(0), std::chrono::milliseconds(300) };
constexpr auto READ_CHECK = std::chrono::milliseconds(2);
//! After a failed append the log counts as unavailable for this time.
constexpr auto FAILURE_TIME = std::chrono::seconds(1);

} // namespace

StreamOrigins::StreamOrigins(asio::io_context &context, journal::IJournal &journal,
                             const process::servers::ServerTable &servers, StreamOriginHooks hooks)
    : m_context(context)
    , m_journal(journal)
    , m_servers(servers)
    , m_hooks(std::move(hooks))
    , m_planner(process::clock::now())
{ }

auto StreamOrigins::start() -> void
{
    if (std::exchange(m_started, true))
        return;
    asio::co_spawn(m_context, baselineLoop(), logging::LogTaskFailure("streams.baselines"));
}

auto StreamOrigins::versionsInService() const -> version::streamorigin::VersionsByService
{
    auto versions = version::streamorigin::VersionsByService();
    for (const auto &[id, server] : m_servers.all())
        versions[server.record.service].push_back(server.record.software);
    return versions;
}

auto StreamOrigins::noteServer(const std::string &service, const std::string &software) -> void
{
    m_planner.observeServer(service, software, m_log.baselines(), process::clock::now());
}

auto StreamOrigins::noteServerGap() -> void
{
    m_planner.noteGap(process::clock::now());
}

auto StreamOrigins::baselineLoop() -> asio::awaitable<void>
{
    while (true) {
        const auto end = co_await readBaselines();
        const auto now = process::clock::now();
        m_log.expire(now);
        m_planner.observe(versionsInService(), m_log.baselines(), now);
        if (end.has_value() && m_hooks.isInCharge(now))
            co_await planBaselines(*end);
        co_await pauseFor(BASELINE_INTERVAL);
    }
}

//! Returns the end of their partition; nothing if the log did not answer.
auto StreamOrigins::readBaselines() -> asio::awaitable<std::optional<std::uint64_t>>
{
    const auto sentAt = process::clock::now();
    const auto page = co_await m_journal.newest(BASELINE_TOPIC);
    if (!page.ok())
        co_return std::nullopt;
    for (const auto &record : page->records) {
        const auto baseline = version::streamorigin::decodeBaseline(record.value);
        if (!baseline.has_value()) {
            logging::error("streams.malformed_baseline", { { "service", record.key } });
            continue;
        }
        const auto known = m_log.baselines().find(record.key);
        if (known == m_log.baselines().end() || known->second != *baseline)
            logging::info("streams.baseline",
                          { { "service", record.key },
                            { "software", baseline->software },
                            { "closing", baseline->closing },
                            { "offset", record.offset } });
        m_log.setBaseline(record.key, *baseline);
    }
    m_log.noteBaselinesRead(sentAt);
    co_return page->end;
}

auto StreamOrigins::planBaselines(std::uint64_t end) -> asio::awaitable<void>
{
    const auto planned =
        m_planner.plan(versionsInService(), m_log.baselines(), process::clock::now());
    if (planned.empty())
        co_return;
    auto records = std::vector<std::string>();
    for (const auto &[service, baseline] : planned)
        records.push_back(version::streamorigin::encodeBaseline(service, baseline));
    // Only if nobody else has changed them since they were read.
    auto condition = journal::AppendCondition();
    condition.at = end;
    const auto partition = journal::Partition { BASELINE_TOPIC, 0 };
    const auto result =
        co_await m_journal.append(partition, std::move(records), condition, APPEND_TIME);
    logging::info("streams.baselines_planned",
                  { { "services", planned.size() },
                    { "first", planned.begin()->first },
                    { "software", planned.begin()->second.software },
                    { "outcome", base::nameOf(journal::APPEND_OUTCOME_NAMES, result.outcome) } });
}

auto StreamOrigins::mustRecord(const std::string &service, const std::string &software) const
    -> bool
{
    return m_log.mustRecord(service, software, process::clock::now());
}

auto StreamOrigins::canRecord() const -> bool
{
    return process::clock::now() - m_failedAt >= FAILURE_TIME;
}

auto StreamOrigins::record(StreamOrigin origin) -> asio::awaitable<bool>
{
    const auto pending = std::make_shared<Pending>(m_context, std::move(origin));
    pending->wake.expires_after(RECORD_TIME);
    m_pending.push_back(pending);
    if (!std::exchange(m_writing, true))
        asio::co_spawn(m_context, writeLoop(), logging::LogTaskFailure("streams.write"));
    co_await pending->wake.async_wait(USE_TUPLE);
    co_return pending->written;
}

auto StreamOrigins::writeLoop() -> asio::awaitable<void>
{
    auto oneByOne = false;
    while (!m_pending.empty()) {
        auto batch = std::exchange(m_pending, {});
        if (oneByOne && batch.size() > 1) {
            m_pending.assign(std::next(batch.begin()), batch.end());
            batch.resize(1);
        }
        auto records = std::vector<std::string>();
        for (const auto &pending : batch)
            records.push_back(version::streamorigin::encodeOrigin(pending->origin));
        const auto partition = journal::Partition { ORIGIN_TOPIC, 0 };
        const auto result =
            co_await m_journal.appendUnconditionally(partition, std::move(records), APPEND_TIME);
        const auto now = process::clock::now();
        const auto written = result.outcome == journal::AppendOutcome::Done;
        const auto rejected = result.outcome == journal::AppendOutcome::Rejected;
        if (!written) {
            // The log is there; only what it rejects fails.
            if (!rejected)
                m_failedAt = now;
            logging::warning(
                "streams.append_failed",
                { { "origins", batch.size() },
                  { "outcome", base::nameOf(journal::APPEND_OUTCOME_NAMES, result.outcome) },
                  { "detail", result.detail } });
        }
        if (rejected && batch.size() > 1) {
            oneByOne = true;
            m_pending.insert(m_pending.begin(), batch.begin(), batch.end());
            continue;
        }
        for (const auto &pending : batch) {
            pending->written = written;
            if (written)
                m_log.apply(pending->origin, RecordSource::OwnWrite, now);
            pending->wake.cancel();
        }
    }
    m_writing = false;
}

auto StreamOrigins::find(std::string service, std::string requestId, version::routing::Owner caller)
    -> asio::awaitable<request::forward::OriginAnswer>
{
    auto view = LogView::Stale;
    // A baseline that was set after an origin was read could not tell of streams before. A server
    // may have come back with other software since the list of servers was read.
    if (co_await readOrigins() && (co_await readBaselines()).has_value()
        && co_await m_hooks.refreshServers())
        view = LogView::Complete;
    const auto now = process::clock::now();
    m_planner.observe(versionsInService(), m_log.baselines(), now);
    const auto onlyBaseline = m_planner.onlyBaseline(service, now);
    const auto software = m_log.find(service, requestId, caller, view, onlyBaseline);
    logging::info("streams.origin_found",
                  { { "service", service },
                    { "begun_by", requestId },
                    { "workspace", caller.workspace },
                    { "software", software.value_or("") },
                    { "known", software.has_value() },
                    { "log_read", view == LogView::Complete } });
    co_return request::forward::OriginAnswer { software, view == LogView::Stale };
}

//! Returns whether all origins have been read that were in the log when it was called. Callers
//! share a read that begins after their calls.
auto StreamOrigins::readOrigins() -> asio::awaitable<bool>
{
    const auto needed = m_readsBegun + 1;
    const auto until = process::clock::now() + FIND_TIME;
    while (m_readsDone < needed && process::clock::now() < until) {
        if (m_reading) {
            co_await pauseFor(READ_CHECK);
            continue;
        }
        m_reading = true;
        const auto number = ++m_readsBegun;
        const auto complete = co_await readOriginsToEnd();
        m_reading = false;
        if (!complete)
            co_return false;
        m_readsDone = number;
    }
    co_return m_readsDone >= needed;
}

auto StreamOrigins::readOriginsToEnd() -> asio::awaitable<bool>
{
    while (true) {
        const auto partition = journal::Partition { ORIGIN_TOPIC, 0 };
        const auto page = co_await m_journal.read(partition, m_position, READ_TIMES);
        if (!page.ok())
            co_return false;
        if (page->compacted) {
            m_position = std::max(m_position + 1, page->first);
            continue;
        }
        const auto now = process::clock::now();
        for (const auto &record : page->records) {
            const auto origin = version::streamorigin::decodeOrigin(record.data);
            if (origin.has_value())
                m_log.apply(*origin, RecordSource::Log, now);
            else
                logging::error("streams.malformed_origin", { { "offset", record.offset } });
            m_position = record.offset + 1;
        }
        if (page->records.empty() || m_position >= page->end)
            co_return true;
    }
}

} // namespace nutmegplank::app::node
