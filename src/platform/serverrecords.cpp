#include "platform/serverrecords.h"

#include <algorithm>

#include "base/status.h"
#include "base/text.h"
#include "platform/jsonfields.h"
#include "process/settings/settings.h"

namespace nutmegplank::platform {

namespace {

using process::servers::ServerRecord;
using process::servers::ServerState;

constexpr auto WIRE_SERVER_STATES = base::EnumTable<ServerState, 2> { {
    { ServerState::Ready, "ready" },
    { ServerState::Draining, "draining" },
} };

//! No server is cold for longer; larger numbers are malformed and would overflow.
constexpr auto MAX_COLD_MS = std::uint64_t(3'600'000);

//! Notices are of seconds; larger numbers are malformed and would overflow.
constexpr auto MAX_LEAVES_MS = std::uint64_t(3'600'000);

//! More than any server has; larger numbers are malformed.
constexpr auto MAX_SLOTS = std::uint64_t(1'000'000);

//! Ids are sent as header values.
auto isId(std::string_view text) -> bool
{
    return !text.empty()
        && std::ranges::all_of(text, [](char byte) { return byte > ' ' && byte < '\x7f'; });
}

//! "version" of a server's record is that of its software; weights have theirs under "models".
auto readSoftware(const boost::json::object &object) -> std::string
{
    const auto *value = object.if_contains("version");
    if (value == nullptr || value->is_null())
        return {};
    return value->is_string() ? std::string(value->get_string()) : boost::json::serialize(*value);
}

} // namespace

auto readModelVersions(const boost::json::object &object) -> std::map<std::string, std::uint64_t>
{
    auto versions = std::map<std::string, std::uint64_t>();
    const auto *models = arrayField(object, "models");
    for (const auto &value : models == nullptr ? boost::json::array() : *models) {
        const auto *model = value.if_object();
        const auto name = model == nullptr ? std::nullopt : stringField(*model, "name");
        if (name.has_value())
            versions[*name] = unsignedField(*model, "version").value_or(0);
    }
    return versions;
}

auto readServerRecord(const version::journal::KeyedRecord &keyed) -> absl::StatusOr<ServerRecord>
{
    const auto recordError = [&keyed](std::string_view what) {
        return base::makeError(absl::StatusCode::kInvalidArgument,
                               base::concat(what, " at offset ", keyed.offset),
                               { "server.read", keyed.key });
    };
    if (!isId(keyed.key))
        return recordError("the id is not visible ASCII");
    const auto object = parseObject(keyed.value);
    if (!object.has_value())
        return recordError("not a JSON object");
    auto record = ServerRecord();
    record.id = keyed.key;
    const auto service = stringField(*object, "service");
    const auto address = stringField(*object, "address");
    const auto zone = stringField(*object, "zone");
    const auto state =
        base::valueOf(WIRE_SERVER_STATES, stringField(*object, "state").value_or(""));
    const auto slots = unsignedField(*object, "slots");
    if (!service.has_value() || !zone.has_value())
        return recordError("service or zone is missing");
    if (!address.has_value() || !process::settings::isEndpoint(*address))
        return recordError("address is not an IP address with a port");
    if (!state.has_value())
        return recordError("state is neither ready nor draining");
    if (!slots.has_value() || *slots > MAX_SLOTS)
        return recordError("slots is not an unsigned integer, or too large");
    record.service = *service;
    record.endpoint = *address;
    record.zone = *zone;
    record.state = *state;
    record.software = readSoftware(*object);
    record.slots = static_cast<std::uint32_t>(*slots);
    record.coldFor = std::chrono::milliseconds(
        std::min(unsignedField(*object, "cold_remaining_ms").value_or(0), MAX_COLD_MS));
    // "sequence" counts heartbeats here, but accepted orders in an engine's report; it is not read.
    // "born" is the start time of the server in Unix milliseconds.
    record.incarnation = static_cast<std::int64_t>(unsignedField(*object, "born").value_or(0));
    record.reclaimable = boolField(*object, "spot").value_or(false);
    const auto leavesMs = unsignedField(*object, "leaves_ms");
    if (leavesMs.has_value())
        record.leavesIn = std::chrono::milliseconds(std::min(*leavesMs, MAX_LEAVES_MS));
    record.modelVersion = readModelVersions(*object);
    return record;
}

} // namespace nutmegplank::platform
