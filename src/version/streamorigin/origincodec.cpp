#include "version/streamorigin/origincodec.h"

#include "version/records/records.pb.h"

namespace nutmegplank::version::streamorigin {

namespace {

using routing::OwnerKind;

auto toMessage(OwnerKind kind) -> record::OriginOwner
{
    switch (kind) {
    case OwnerKind::Workspace:
        return record::ORIGIN_OWNER_WORKSPACE;
    case OwnerKind::Anonymous:
        return record::ORIGIN_OWNER_ANONYMOUS;
    case OwnerKind::Shared:
        return record::ORIGIN_OWNER_SHARED;
    }
    return record::ORIGIN_OWNER_UNKNOWN;
}

auto readOwner(const record::StreamOrigin &message) -> std::optional<routing::Owner>
{
    switch (message.owner()) {
    case record::ORIGIN_OWNER_WORKSPACE:
        return routing::workspaceOwner(message.workspace());
    case record::ORIGIN_OWNER_ANONYMOUS:
        return routing::Owner { OwnerKind::Anonymous };
    case record::ORIGIN_OWNER_SHARED:
        return routing::Owner { OwnerKind::Shared };
    default:
        return std::nullopt;
    }
}

} // namespace

auto encodeOrigin(const StreamOrigin &origin) -> std::string
{
    auto record = record::StreamOrigin();
    record.set_request_id(origin.requestId);
    record.set_service(origin.service);
    record.set_software(origin.software);
    if (origin.owner.has_value()) {
        record.set_owner(toMessage(origin.owner->kind));
        record.set_workspace(origin.owner->workspace);
    }
    return record.SerializeAsString();
}

auto decodeOrigin(const std::string &data) -> std::optional<StreamOrigin>
{
    auto record = record::StreamOrigin();
    if (!record.ParseFromString(data) || record.request_id().empty())
        return std::nullopt;
    return StreamOrigin { record.request_id(), record.service(), record.software(),
                          readOwner(record) };
}

auto encodeBaseline(const std::string &service, const Baseline &baseline) -> std::string
{
    auto record = record::SoftwareBaseline();
    record.set_software(baseline.software);
    record.set_closing(baseline.closing);
    auto data = std::string(1, static_cast<char>(service.size()));
    data += service;
    data += record.SerializeAsString();
    return data;
}

auto decodeBaseline(const std::string &value) -> std::optional<Baseline>
{
    auto record = record::SoftwareBaseline();
    if (!record.ParseFromString(value) || record.software().empty())
        return std::nullopt;
    return Baseline { record.software(), record.closing() };
}

} // namespace nutmegplank::version::streamorigin
