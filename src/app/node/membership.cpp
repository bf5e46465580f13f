#include "app/node/membership.h"

#include <algorithm>

#include <boost/asio.hpp>

#include "app/node/partitions.h"
#include "base/hash.h"
#include "base/text.h"
#include "process/clock/clock.h"
#include "process/clock/pause.h"
#include "process/logging/logging.h"
#include "process/logging/taskfailure.h"
#include "process/members/limitreportcodec.h"
#include "request/forward/requestreportcodec.h"

namespace nutmegplank::app::node {

namespace {

namespace asio = boost::asio;
namespace journal = version::journal;

constexpr auto USE_TUPLE = asio::as_tuple(asio::use_awaitable);
//! Members' heartbeats are read this often; a long poll would wake each machine for each other one.
constexpr auto READ_PAUSE = std::chrono::milliseconds(450);
//! After its return the log has handed out what it kept from before.
constexpr auto PROMPT_AFTER = std::chrono::milliseconds(2000);
constexpr auto APPEND_TIME = std::chrono::milliseconds(800);
//! A heartbeat read from a snapshot counts as older than this when its time can't be told.
constexpr auto SNAPSHOT_AGE_LIMIT = std::chrono::seconds(60);
//! A heartbeat of a machine that is long gone says nothing new of requests.
constexpr auto SUSPICION_AGE_LIMIT = std::chrono::hours(24);
constexpr auto SNAPSHOT_WAIT = std::chrono::milliseconds(1500);
constexpr auto SNAPSHOT_CHECK = std::chrono::milliseconds(10);

} // namespace

Membership::Membership(asio::io_context &context, journal::IJournal &store,
                       const process::settings::MachineSettings &settings, std::string incarnation,
                       process::clock::TrueTime &trueTime,
                       request::forward::PoisonRequestDetector &suspects,
                       process::requestlimits::RequestLimits &limits)
    : m_context(context)
    , m_journal(store)
    , m_settings(settings)
    , m_incarnation(std::move(incarnation))
    , m_trueTime(trueTime)
    , m_suspects(suspects)
    , m_limits(limits)
    , m_members(m_times)
    , m_follower(
          context, store, { { MEMBER_TOPIC, 0 }, base::Duration(0), READ_PAUSE },
          { [this](const journal::KeyedRecord &record, base::TimePoint now) { hear(record, now); },
            [](const std::set<std::string> &, std::uint64_t, base::TimePoint) {} })
    , m_timer(context)
{ }

auto Membership::start() -> void
{
    m_follower.start();
    asio::co_spawn(m_context, heartbeatLoop(),
                   process::logging::LogTaskFailure("membership.heartbeat"));
}

auto Membership::setServing(bool serving) -> void
{
    if (m_serving == serving)
        return;
    m_serving = serving;
    m_timer.cancel();
}

auto Membership::encodeHeartbeat(base::TimePoint now) -> std::string
{
    auto record = record::MemberRecord();
    record.set_node(m_settings.node);
    record.set_incarnation(m_incarnation);
    record.set_address(m_settings.callerEndpoint);
    record.set_zone(m_settings.zone);
    record.set_serving(m_serving);
    record.set_true_ms(m_trueTime.milliseconds(now));
    for (const auto &report : m_suspects.reports(now)) {
        if (m_bareHeartbeat)
            break;
        auto &added = *record.add_suspicions();
        added.set_fingerprint(request::forward::encodeReport(report, now));
        added.set_crashes(static_cast<std::uint32_t>(report.crashes.size()));
    }
    for (const auto &report : m_limits.takeReports(now)) {
        if (m_bareHeartbeat)
            break;
        *record.add_limits() = process::members::encodeLimitReport(report, now);
    }
    auto data = std::string(1, static_cast<char>(m_settings.node.size()));
    data += m_settings.node;
    data += record.SerializeAsString();
    return data;
}

//! The first heartbeat replaces the one of the former process on this machine, which may hold what
//! nobody else knows.
auto Membership::waitForSnapshot() -> asio::awaitable<void>
{
    const auto until = process::clock::now() + SNAPSHOT_WAIT;
    while (!m_follower.complete() && process::clock::now() < until)
        co_await process::clock::pauseFor(SNAPSHOT_CHECK);
}

auto Membership::heartbeatLoop() -> asio::awaitable<void>
{
    co_await waitForSnapshot();
    while (true) {
        auto records = std::vector<std::string> { encodeHeartbeat(process::clock::now()) };
        const auto partition = journal::Partition { MEMBER_TOPIC, 0 };
        const auto bytes = records.front().size();
        const auto result =
            co_await m_journal.appendUnconditionally(partition, std::move(records), APPEND_TIME);
        noteHeartbeat(result, bytes);
        m_timer.expires_after(m_times.heartbeatEvery);
        co_await m_timer.async_wait(USE_TUPLE);
    }
}

//! A machine whose heartbeats are all rejected would count as gone: the next one goes without what
//! it tells of others.
auto Membership::noteHeartbeat(const journal::AppendResult &result, std::size_t bytes) -> void
{
    m_bareHeartbeat = result.outcome == journal::AppendOutcome::Rejected && !m_bareHeartbeat;
    if (result.outcome == journal::AppendOutcome::Rejected)
        process::logging::error("member.heartbeat_rejected",
                                { { "bytes", bytes }, { "detail", result.detail } });
}

auto Membership::hear(const journal::KeyedRecord &keyed, base::TimePoint now) -> void
{
    auto record = record::MemberRecord();
    if (!record.ParseFromString(keyed.value)) {
        process::logging::error("member.malformed_record",
                                { { "key", keyed.key }, { "offset", keyed.offset } });
        return;
    }
    // A snapshot, also the one after a gap, holds the last heartbeat of machines that are long
    // gone.
    const auto fresh = !m_follower.isReadingSnapshot();
    auto age = base::Duration(0);
    if (!fresh) {
        const auto told =
            std::chrono::milliseconds(m_trueTime.milliseconds(now) - record.true_ms());
        age = std::clamp<base::Duration>(told, base::Duration(0), SNAPSHOT_AGE_LIMIT);
    }
    m_members.hear(record, age, now);
    hearLimits(record, now);
    hearSuspicions(record, now);
    if (record.node() == m_settings.node)
        return;
    // Heartbeats from before an outage of the log are read after it and look seconds old.
    const auto prompt = now - m_follower.reachability().recoveredAt() > PROMPT_AFTER;
    if (fresh && prompt)
        m_trueTime.hear(record.node(), record.true_ms(), now);
}

//! Also those of the former process on this machine.
auto Membership::hearSuspicions(const record::MemberRecord &record, base::TimePoint now) -> void
{
    if (record.incarnation() == m_incarnation)
        return;
    const auto told = std::chrono::milliseconds(m_trueTime.milliseconds(now) - record.true_ms());
    const auto age = std::clamp<base::Duration>(told, base::Duration(0), SUSPICION_AGE_LIMIT);
    for (const auto &suspicion : record.suspicions()) {
        const auto report = request::forward::decodeReport(suspicion.fingerprint(), now - age);
        if (report.has_value())
            m_suspects.hear(*report, now);
    }
}

auto Membership::hearLimits(const record::MemberRecord &record, base::TimePoint now) -> void
{
    if (record.incarnation() == m_incarnation)
        return;
    const auto told = std::chrono::milliseconds(m_trueTime.milliseconds(now) - record.true_ms());
    const auto age = std::clamp<base::Duration>(told, base::Duration(0), SNAPSHOT_AGE_LIMIT);
    auto reports = std::vector<process::requestlimits::LimitReport>();
    for (const auto &encoded : record.limits())
        reports.push_back(process::members::decodeLimitReport(encoded, now - age));
    m_limits.setReports(record.node(), reports, now);
}

auto Membership::living(base::TimePoint now) const -> std::vector<process::members::Member>
{
    const auto &reachability = m_follower.reachability();
    return m_members.serving(reachability.answeredAt(), reachability.recoveredAt(), now);
}

auto Membership::addresses(const std::string &zone, std::size_t most, base::TimePoint now) const
    -> std::vector<std::string>
{
    auto members = living(now);
    std::erase_if(members, [this](const auto &member) { return member.node == m_settings.node; });
    // Callers of one zone get the same order, so that a short list spreads over all zones'
    // machines.
    std::ranges::sort(members, {}, [&](const process::members::Member &member) {
        return std::pair(member.zone != zone, base::hash64(base::concat(zone, "/", member.node)));
    });
    auto addresses = std::vector<std::string>();
    if (m_serving)
        addresses.push_back(m_settings.callerEndpoint);
    for (const auto &member : members) {
        if (addresses.size() < most)
            addresses.push_back(member.address);
    }
    return addresses;
}

auto Membership::peers(base::TimePoint now) const -> std::vector<std::string>
{
    auto endpoints = std::vector<std::string>();
    for (const auto &member : living(now)) {
        if (member.node != m_settings.node)
            endpoints.push_back(member.address);
    }
    return endpoints;
}

auto Membership::memberNames(base::TimePoint now) const -> std::vector<std::string>
{
    auto names = std::vector<std::string>();
    for (const auto &member : living(now))
        names.push_back(member.node);
    return names;
}

auto Membership::memberCount(base::TimePoint now) const -> std::size_t
{
    return std::max<std::size_t>(1, living(now).size());
}

} // namespace nutmegplank::app::node
