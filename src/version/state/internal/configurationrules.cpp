#include <boost/json.hpp>

#include "base/text.h"
#include "version/configuration/change.h"
#include "version/state/internal/recordreader.h"
#include "version/state/internal/recordrules.h"

namespace nutmegplank::version::state {

namespace {

namespace json = boost::json;
using configuration::Change;
using configuration::Configuration;

constexpr auto MAX_AUDIT_ENTRIES = std::size_t(400);

//! JSON of the changed objects by "kind/name", without the hashes of keys.
template <typename ValueOf>
auto auditObjects(const std::vector<Change> &changes, ValueOf valueOf) -> json::object
{
    auto objects = json::object();
    for (const auto &change : changes) {
        auto value = json::value(valueOf(change));
        if (value.is_object())
            value.as_object().erase("sha256");
        const auto kind = base::nameOf(configuration::OBJECT_KIND_NAMES, change.object);
        objects[change.name.empty() ? std::string(kind) : base::concat(kind, "/", change.name)] =
            std::move(value);
    }
    return objects;
}

auto addAuditEntry(LogState &state, AuditEntry entry) -> void
{
    state.audit.push_back(std::make_shared<const AuditEntry>(std::move(entry)));
    if (state.audit.size() > MAX_AUDIT_ENTRIES)
        state.audit.erase(state.audit.begin());
}

auto conflictMessage(const LogState &state, std::uint64_t baseVersion) -> std::string
{
    auto text = base::concat("made from version ", baseVersion, ", but version ",
                             state.configuration->version, " is in force");
    for (const auto &entry : state.audit) {
        if (entry->offset == state.configuration->version)
            text += base::concat(": ", entry->what, " by ", entry->who);
    }
    return text;
}

} // namespace

auto applyConfigurationChange(LogState &state, const Record &record) -> absl::Status
{
    auto reader = recordReader(record.body);
    auto entry = AuditEntry();
    entry.offset = record.offset;
    entry.wallMs = reader.integer("wall_ms", NON_NEGATIVE, 0);
    entry.who = reader.string("who", "");
    entry.why = reader.string("why", "");
    entry.what = reader.string("what", "");
    const auto baseVersion = readNumber(reader, "base_version");
    const auto changes = configuration::parseChanges(reader.raw("changes"), "changes");
    const auto status = reader.finish();
    if (!status.ok())
        return status;
    if (!changes.ok())
        return changes.status();
    const auto &current = *state.configuration;
    entry.before = auditObjects(*changes, [&current](const Change &change) {
        return configuration::objectJson(current, change.object, change.name);
    });
    entry.after = auditObjects(*changes, [](const Change &change) { return change.value; });
    if (baseVersion != current.version) {
        entry.conflict = true;
        const auto problem = absl::AbortedError(conflictMessage(state, baseVersion));
        addAuditEntry(state, std::move(entry));
        return problem;
    }
    auto next = configuration::applyChanges(current, *changes, record.offset);
    if (!next.ok())
        return next.status();
    state.configuration = std::make_shared<const Configuration>(*std::move(next));
    addAuditEntry(state, std::move(entry));
    return absl::OkStatus();
}

} // namespace nutmegplank::version::state
