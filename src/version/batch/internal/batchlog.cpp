#include "version/batch/batchlog.h"

#include "process/logging/logging.h"
#include "version/batch/batchcodec.h"

namespace nutmegplank::version::batch {

namespace logging = process::logging;

namespace {

//! Far above the largest batch. A malformed count must not claim the machine's memory.
constexpr auto MAX_ITEMS = 1'000'000U;

} // namespace

auto BatchLog::apply(const journal::Record &record) -> void
{
    auto message = record::IndexRecord();
    if (!message.ParseFromString(record.data)) {
        logging::error("batch.malformed_record", { { "offset", record.offset } });
        return;
    }
    switch (message.content_case()) {
    case record::IndexRecord::kAccepted:
        accept(message.accepted());
        return;
    case record::IndexRecord::kListed:
        addResults(message.listed());
        return;
    case record::IndexRecord::kEnd:
        end(message.end());
        return;
    case record::IndexRecord::kProgress:
        addProgress(message.progress());
        return;
    case record::IndexRecord::CONTENT_NOT_SET:
        logging::error("batch.malformed_record", { { "offset", record.offset } });
        return;
    }
}

auto BatchLog::accept(const record::BatchAccepted &accepted) -> void
{
    const auto owner = readOwner(accepted.workspace(), accepted.shared());
    const auto key = makeBatchKey(owner.workspace, accepted.id());
    // Two machines may have accepted the same batch; the first record in the log wins.
    if (m_batches.contains(key))
        return;
    if (accepted.item_count() > MAX_ITEMS) {
        logging::error("batch.malformed_record",
                       { { "batch", accepted.id() }, { "items", accepted.item_count() } });
        return;
    }
    auto batch = std::make_unique<Batch>();
    auto &head = batch->head;
    head.id = accepted.id();
    head.host = accepted.host();
    head.path = accepted.path();
    head.owner = owner;
    head.model = accepted.model();
    head.minVersion = accepted.min_version();
    head.step = accepted.step();
    head.groupCount = accepted.group_count();
    head.submittedMs = accepted.submitted_ms();
    head.configuration = accepted.configuration();
    batch->listed.resize(accepted.item_count());
    batch->place = { accepted.bulk_partition(), accepted.bulk_offset() };
    batch->attempt = accepted.attempt();
    batch->ended = m_endedEarly.contains(key);
    const auto &stored = *m_batches.emplace(key, std::move(batch)).first->second;
    if (m_hooks.onAccepted)
        m_hooks.onAccepted(stored);
}

auto BatchLog::addResults(const record::ListedResults &listed) -> void
{
    auto *batch = named(listed.workspace(), listed.batch_id());
    if (batch == nullptr)
        return;
    auto group = ListedGroup();
    group.place = { listed.bulk_partition(), listed.bulk_offset() };
    group.firstPosition = batch->listedCount;
    for (auto index = 0; index < listed.items_size(); ++index) {
        // Two executors may have finished the same item; only the first result in the log counts.
        const auto item = listed.items(index);
        if (item >= batch->listed.size() || batch->listed[item])
            continue;
        batch->listed[item] = true;
        group.kept.push_back(static_cast<std::uint32_t>(index));
    }
    if (group.kept.empty())
        return;
    batch->listedCount += group.kept.size();
    batch->groups.push_back(std::move(group));
    if (m_hooks.onResults)
        m_hooks.onResults(*batch);
}

auto BatchLog::addProgress(const record::ListedProgress &progress) -> void
{
    auto *batch = named(progress.workspace(), progress.batch_id());
    if (batch != nullptr)
        batch->progress.push_back({ progress.bulk_partition(), progress.bulk_offset() });
}

auto BatchLog::end(const record::BatchEnd &record) -> void
{
    auto *batch = named(record.workspace(), record.batch_id());
    if (batch == nullptr) {
        m_endedEarly.insert(makeBatchKey(record.workspace(), record.batch_id()));
        return;
    }
    if (batch->ended)
        return;
    batch->ended = true;
    if (m_hooks.onEnded)
        m_hooks.onEnded(*batch);
}

//! Former versions of this program named the id only, and had one batch of an id.
auto BatchLog::named(const std::string &workspace, const std::string &id) -> Batch *
{
    const auto found = m_batches.find(makeBatchKey(workspace, id));
    if (found != m_batches.end())
        return found->second.get();
    const auto sameId = workspace.empty() ? findById(id) : std::vector<const Batch *>();
    if (sameId.size() != 1)
        return nullptr;
    return m_batches.at(sameId.front()->head.key()).get();
}

auto BatchLog::find(const std::string &key) const -> const Batch *
{
    const auto found = m_batches.find(key);
    return found == m_batches.end() ? nullptr : found->second.get();
}

auto BatchLog::findById(const std::string &id) const -> std::vector<const Batch *>
{
    // The keys of an id follow each other: what a key has behind its id sorts before all else.
    auto batches = std::vector<const Batch *>();
    for (auto at = m_batches.lower_bound(id); at != m_batches.end() && idOf(at->first) == id; ++at)
        batches.push_back(at->second.get());
    return batches;
}

auto BatchLog::forget(std::int64_t submittedBeforeMs) -> void
{
    std::erase_if(m_batches, [submittedBeforeMs](const auto &entry) {
        const auto &batch = *entry.second;
        return !batch.open() && batch.head.submittedMs < submittedBeforeMs;
    });
}

} // namespace nutmegplank::version::batch
