#include "process/inventory/internal/servertable.h"

#include "base/jsonreader.h"

namespace nutmegplank::process::inventory {

namespace {

constexpr auto REVISION_RANGE = base::IntegerRange { 0, std::numeric_limits<std::int64_t>::max() };
constexpr auto GONE = std::string_view("gone");

//! One entry of the answer; gone servers carry no state of their own.
struct Change
{
    BackendServer server;
    bool gone = false;
};

auto readChange(base::ObjectReader &reader) -> Change
{
    auto change = Change();
    change.server.id = reader.string("id");
    change.server.service = reader.string("service", "");
    change.server.zone = reader.string("zone", "");
    change.server.address = reader.string("address", "");
    change.server.cheap = reader.boolean("cheap", false);
    change.server.checksFencing = reader.boolean("checks_fencing", false);
    change.server.orderId = reader.string("order_id", "");
    const auto state = reader.string("state");
    change.gone = state == GONE;
    const auto known = base::valueOf(SERVER_STATE_NAMES, state);
    if (!change.gone && !known.has_value())
        reader.fail("state", "is unknown; allowed: live, leaving, gone");
    change.server.state = known.value_or(ServerState::Live);
    return change;
}

} // namespace

auto ServerTable::apply(const boost::json::value &answer) -> absl::Status
{
    auto reader = base::ObjectReader(answer, "VM list");
    const auto revision = static_cast<std::uint64_t>(reader.integer("revision", REVISION_RANGE));
    const auto full = reader.boolean("full", false);
    auto changes = std::vector<Change>();
    for (auto &entry : reader.objects("vms")) {
        changes.push_back(readChange(entry));
        // Fields that this version does not know are the platform's to add.
        const auto problem = entry.problem();
        if (!problem.ok())
            return problem;
    }
    const auto problem = reader.problem();
    if (!problem.ok())
        return problem;
    if (full)
        m_servers.clear();
    for (auto &change : changes) {
        if (change.gone)
            m_servers.erase(change.server.id);
        else
            m_servers[change.server.id] = std::move(change.server);
    }
    m_revision = revision;
    return absl::OkStatus();
}

auto ServerTable::view() const -> ServerViewPtr
{
    auto view = std::make_shared<ServerView>();
    view->revision = m_revision;
    for (const auto &[id, server] : m_servers)
        view->servers.push_back(server);
    return view;
}

} // namespace nutmegplank::process::inventory
