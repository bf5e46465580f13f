#include "version/state/internal/replay.h"

#include <boost/json.hpp>

#include "base/jsonreader.h"
#include "base/text.h"
#include "version/state/records.h"
#include "version/state/statecodec.h"

namespace nutmegplank::version::state {

namespace {

//! Separate from the other ids: renewals are frequent and are retried only for a short time.
constexpr auto MAX_RECENT_RENEWAL_IDS = std::size_t(512);
constexpr auto MAX_RECENT_OTHER_IDS = std::size_t(1024);

auto recordKind(const Record &record) -> std::optional<RecordKind>
{
    const auto *kind = record.body.if_contains("kind");
    if (kind == nullptr || !kind->is_string())
        return std::nullopt;
    return base::valueOf(RECORD_KIND_NAMES, std::string_view(kind->as_string()));
}

} // namespace

Replay::Replay()
    : m_recentRenewals(MAX_RECENT_RENEWAL_IDS)
    , m_recentOthers(MAX_RECENT_OTHER_IDS)
{
    m_state.configuration = std::make_shared<const configuration::Configuration>();
}

auto Replay::apply(const Record &record) -> ApplyResult
{
    if (record.offset < m_state.nextOffset)
        return ApplyResult { record.offset, absl::AlreadyExistsError("applied before"), true };
    m_state.nextOffset = record.offset + 1;
    const auto kind = recordKind(record);
    // Chunks change nothing, and there are enough of them to evict the ids of other records.
    if (kind == RecordKind::SnapshotChunk)
        return ApplyResult { record.offset, absl::OkStatus(), false };
    auto &recent = kind == RecordKind::LeaseRenewal ? m_recentRenewals : m_recentOthers;
    const auto earlierCopy = recent.find(record.id);
    if (earlierCopy) {
        const auto status = earlierCopy->accepted
            ? absl::OkStatus()
            : absl::AbortedError("its first copy was rejected");
        return ApplyResult { earlierCopy->offset, status, true };
    }
    const auto status = applyKind(record);
    recent.add(record.id, record.offset, status.ok());
    return ApplyResult { record.offset, status, false };
}

auto Replay::applyKind(const Record &record) -> absl::Status
{
    const auto kind = recordKind(record);
    if (!kind)
        return absl::InvalidArgumentError("record of an unknown kind");
    switch (*kind) {
    case RecordKind::LeaseClaim:
        return applyLeaseClaim(m_state, record);
    case RecordKind::LeaseRenewal:
        return applyLeaseRenewal(m_state, record);
    case RecordKind::LeaseRelease:
        return applyLeaseRelease(m_state, record);
    case RecordKind::ConfigurationChange:
        return applyConfigurationChange(m_state, record);
    case RecordKind::Weights:
        return applyWeights(m_state, record);
    case RecordKind::Plan:
        return applyPlan(m_state, record);
    case RecordKind::OrderIntent:
        return applyOrderIntent(m_state, record);
    case RecordKind::OrderOutcome:
        return applyOrderOutcome(m_state, record);
    case RecordKind::UsageWindow:
        return applyUsageWindow(m_state, record);
    case RecordKind::SnapshotChunk:
        break;
    }
    return absl::OkStatus();
}

auto Replay::copyState() const -> LogStatePtr
{
    return std::make_shared<const LogState>(m_state);
}

auto Replay::serialize() const -> std::string
{
    auto object = stateToJson(m_state);
    object["recent_renewals"] = m_recentRenewals.toJson();
    object["recent_others"] = m_recentOthers.toJson();
    return boost::json::serialize(object);
}

auto Replay::restore(const std::string &text) -> absl::Status
{
    const auto value = base::parseJson(text);
    if (!value.ok())
        return value.status();
    auto reader = base::ObjectReader(*value, "snapshot");
    auto state = stateFromJson(reader);
    const auto renewals = reader.raw("recent_renewals");
    const auto others = reader.raw("recent_others");
    const auto status = reader.finish();
    if (!status.ok())
        return status;
    if (state.nextOffset < m_state.nextOffset)
        return absl::FailedPreconditionError("the snapshot is older than the state");
    auto next = Replay();
    const auto renewalsStatus = next.m_recentRenewals.restore(renewals);
    if (!renewalsStatus.ok())
        return renewalsStatus;
    const auto othersStatus = next.m_recentOthers.restore(others);
    if (!othersStatus.ok())
        return othersStatus;
    next.m_state = std::move(state);
    *this = std::move(next);
    return absl::OkStatus();
}

} // namespace nutmegplank::version::state
