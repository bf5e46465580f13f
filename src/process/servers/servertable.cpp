#include "process/servers/servertable.h"

#include "process/logging/logging.h"

namespace nutmegplank::process::servers {

auto ServerTable::update(ServerRecord record, std::uint64_t offset, base::TimePoint now) -> void
{
    const auto found = m_servers.find(record.id);
    const auto isNew = found == m_servers.end();
    const auto restarted = !isNew && found->second.record.incarnation != record.incarnation;
    const auto isSameProcess =
        !isNew && !restarted && found->second.record.endpoint == record.endpoint;
    const auto stateChanged = !isNew && found->second.record.state != record.state;
    if (isNew || restarted || stateChanged)
        logging::info("server.changed",
                      { { "server", record.id },
                        { "service", record.service },
                        { "zone", record.zone },
                        { "endpoint", record.endpoint },
                        { "software", record.software },
                        { "state", base::nameOf(SERVER_STATE_NAMES, record.state) },
                        { "incarnation", record.incarnation },
                        { "restarted", restarted },
                        { "cold_ms", base::toMilliseconds(record.coldFor) },
                        { "offset", offset } });
    auto server = Server();
    server.record = std::move(record);
    server.offset = offset;
    server.heardAt = now;
    server.knownSince = isSameProcess ? found->second.knownSince : now;
    server.coldUntil = now + server.record.coldFor;
    auto id = server.record.id;
    if (m_leaving.contains(id) && !isLeaving(server.record)) {
        logging::info("server.leaving_ended",
                      { { "server", id }, { "incarnation", server.record.incarnation } });
        m_leaving.erase(id);
    }
    m_servers.insert_or_assign(std::move(id), std::move(server));
}

auto ServerTable::remove(const std::string &id, base::TimePoint storeRegainedAt,
                         base::TimePoint now) -> void
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end())
        return;
    if (now - storeRegainedAt > m_times.returnGrace) {
        drop(id, "entry removed");
        return;
    }
    if (!found->second.missingSince.has_value())
        found->second.missingSince = now;
}

auto ServerTable::retain(const std::set<std::string> &ids, base::TimePoint storeRegainedAt,
                         base::TimePoint now) -> void
{
    auto missing = std::vector<std::string>();
    for (const auto &[id, server] : m_servers) {
        if (!ids.contains(id))
            missing.push_back(id);
    }
    for (const auto &id : missing)
        remove(id, storeRegainedAt, now);
}

auto ServerTable::expire(base::TimePoint now) -> void
{
    auto gone = std::vector<std::string>();
    for (const auto &[id, server] : m_servers) {
        if (server.missingSince.has_value() && now - *server.missingSince > m_times.returnGrace)
            gone.push_back(id);
    }
    for (const auto &id : gone)
        drop(id, "entry did not come back with the store");
    std::erase_if(m_leaving, [&](const auto &entry) {
        return !m_servers.contains(entry.first)
            && now - entry.second.saidAt > m_times.leavingMemory;
    });
}

auto ServerTable::noteLeaving(const std::string &id, base::TimePoint sentAt, base::TimePoint now)
    -> void
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end() || found->second.knownSince > sentAt)
        return;
    const auto &record = found->second.record;
    if (!isLeaving(record))
        logging::info("server.leaving",
                      { { "server", id },
                        { "service", record.service },
                        { "incarnation", record.incarnation },
                        { "state", base::nameOf(SERVER_STATE_NAMES, record.state) },
                        { "record_age_ms", base::toMilliseconds(now - found->second.heardAt) } });
    m_leaving[id] = { record.incarnation, record.endpoint, now };
}

auto ServerTable::isLeaving(const ServerRecord &record) const -> bool
{
    const auto found = m_leaving.find(record.id);
    return found != m_leaving.end() && found->second.incarnation == record.incarnation
        && found->second.endpoint == record.endpoint;
}

auto ServerTable::drop(const std::string &id, std::string_view reason) -> void
{
    const auto found = m_servers.find(id);
    logging::info("server.gone",
                  { { "server", id },
                    { "service", found->second.record.service },
                    { "zone", found->second.record.zone },
                    { "reason", reason } });
    m_servers.erase(found);
}

auto ServerTable::find(const std::string &id) const -> const Server *
{
    const auto found = m_servers.find(id);
    return found == m_servers.end() ? nullptr : &found->second;
}

auto ServerTable::usable(const Server &server) const -> bool
{
    return server.record.state == ServerState::Ready && !isLeaving(server.record)
        && !m_zonesOut.contains(server.record.zone);
}

auto ServerTable::hasSeveralVersions(const std::string &service) const -> bool
{
    const std::string *first = nullptr;
    for (const auto &[id, server] : m_servers) {
        if (server.record.service != service)
            continue;
        if (first != nullptr && *first != server.record.software)
            return true;
        first = &server.record.software;
    }
    return false;
}

auto ServerTable::usableOf(const std::string &service) const -> std::vector<const Server *>
{
    auto usableServers = std::vector<const Server *>();
    for (const auto &[id, server] : m_servers) {
        if (server.record.service == service && usable(server))
            usableServers.push_back(&server);
    }
    return usableServers;
}

} // namespace nutmegplank::process::servers
