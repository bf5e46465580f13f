#include "version/batch/batchcodec.h"

namespace nutmegplank::version::batch {

namespace {

//! Space reserved in a record for all fields other than the part's data.
constexpr auto ENVELOPE_BYTES = std::size_t(512);
//! Far above the parts of the largest submission. A malformed count must not claim the machine's
//! memory.
constexpr auto MAX_PARTS = 10'000U;

auto toMessage(const Submission &submission) -> record::Submission
{
    auto message = record::Submission();
    const auto &head = submission.head;
    message.set_id(head.id);
    message.set_host(head.host);
    message.set_path(head.path);
    message.set_workspace(head.owner.workspace);
    message.set_shared(head.owner.kind == routing::OwnerKind::Shared);
    message.set_model(head.model);
    message.set_min_version(head.minVersion);
    message.set_step(head.step);
    message.set_group_count(head.groupCount);
    message.set_submitted_ms(head.submittedMs);
    for (const auto &item : submission.items) {
        auto &added = *message.add_items();
        added.set_id(item.id);
        added.set_path(item.path);
        added.set_body(item.body);
        added.set_tokens(item.tokens);
        added.set_group(item.group);
        added.set_prompt_tokens(item.promptTokens);
        added.set_expected_output(item.expectedOutput);
        for (const auto &header : item.headers) {
            auto &field = *added.add_headers();
            field.set_name(header.name);
            field.set_value(header.value);
        }
        if (item.scorer.has_value()) {
            auto &scorer = *added.mutable_scorer();
            scorer.set_id(item.scorer->id);
            scorer.set_host(item.scorer->host);
            scorer.set_path(item.scorer->path);
            scorer.set_body(item.scorer->body);
        }
    }
    return message;
}

auto fromMessage(const record::Item &message) -> Item
{
    auto item = Item();
    item.id = message.id();
    item.path = message.path();
    item.body = message.body();
    item.tokens = message.tokens();
    item.promptTokens = message.prompt_tokens();
    item.expectedOutput = message.expected_output();
    item.group = message.group();
    for (const auto &header : message.headers())
        item.headers.push_back({ header.name(), header.value() });
    if (message.has_scorer()) {
        const auto &scorer = message.scorer();
        item.scorer = Scorer { scorer.id(), scorer.host(), scorer.path(), scorer.body() };
    }
    return item;
}

} // namespace

auto readOwner(const std::string &workspace, bool shared) -> routing::Owner
{
    if (!workspace.empty())
        return routing::workspaceOwner(workspace);
    return { shared ? routing::OwnerKind::Shared : routing::OwnerKind::Anonymous };
}

auto encodeSubmission(const Submission &submission, const std::string &attempt,
                      std::size_t recordBytes) -> std::vector<std::string>
{
    const auto data = toMessage(submission).SerializeAsString();
    // Ids may be as long as the headers of a request.
    const auto reserved = ENVELOPE_BYTES + submission.head.id.size() + attempt.size();
    const auto partBytes = recordBytes > 2 * reserved ? recordBytes - reserved : recordBytes / 2;
    const auto count = std::max<std::size_t>(1, (data.size() + partBytes - 1) / partBytes);
    auto records = std::vector<std::string>();
    for (auto index = std::size_t(0); index < count; ++index) {
        auto message = record::BulkRecord();
        auto &part = *message.mutable_part();
        part.set_batch_id(submission.head.id);
        part.set_attempt(attempt);
        part.set_index(static_cast<std::uint32_t>(index));
        part.set_count(static_cast<std::uint32_t>(count));
        part.set_data(data.substr(index * partBytes, partBytes));
        records.push_back(message.SerializeAsString());
    }
    return records;
}

auto encodeResults(const std::string &batchKey, const std::vector<Result> &results) -> std::string
{
    auto message = record::BulkRecord();
    auto &list = *message.mutable_results();
    list.set_batch_id(idOf(batchKey));
    for (const auto &result : results) {
        auto &added = *list.add_results();
        added.set_item_id(result.itemId);
        added.set_lost(result.lost);
        added.set_text(result.text);
        added.set_score(result.score);
        for (const auto version : result.versions)
            added.add_versions(version);
    }
    return message.SerializeAsString();
}

auto encodeProgress(const std::string &batchKey, const std::vector<Progress> &items) -> std::string
{
    auto message = record::BulkRecord();
    auto &stored = *message.mutable_progress();
    stored.set_batch_id(idOf(batchKey));
    for (const auto &progress : items) {
        auto &added = *stored.add_items();
        added.set_item(progress.item);
        added.set_last_event(progress.lastEvent);
        added.set_events(progress.events);
        added.set_text(progress.text);
        added.set_complete(progress.complete);
        added.set_software(progress.software);
        for (const auto version : progress.versions)
            added.add_versions(version);
    }
    return message.SerializeAsString();
}

auto encodeListedProgress(const std::string &batchKey, const BulkPlace &place) -> std::string
{
    auto message = record::IndexRecord();
    auto &progress = *message.mutable_progress();
    progress.set_batch_id(idOf(batchKey));
    progress.set_workspace(workspaceOf(batchKey));
    progress.set_bulk_partition(place.partition);
    progress.set_bulk_offset(place.offset);
    return message.SerializeAsString();
}

auto encodeAccepted(const Submission &submission, const BulkPlace &place,
                    const std::string &attempt) -> std::string
{
    auto message = record::IndexRecord();
    auto &accepted = *message.mutable_accepted();
    const auto &head = submission.head;
    accepted.set_id(head.id);
    accepted.set_host(head.host);
    accepted.set_path(head.path);
    accepted.set_workspace(head.owner.workspace);
    accepted.set_shared(head.owner.kind == routing::OwnerKind::Shared);
    accepted.set_model(head.model);
    accepted.set_min_version(head.minVersion);
    accepted.set_step(head.step);
    accepted.set_group_count(head.groupCount);
    accepted.set_submitted_ms(head.submittedMs);
    accepted.set_configuration(head.configuration);
    accepted.set_item_count(static_cast<std::uint32_t>(submission.items.size()));
    accepted.set_bulk_partition(place.partition);
    accepted.set_bulk_offset(place.offset);
    accepted.set_attempt(attempt);
    return message.SerializeAsString();
}

auto encodeListed(const std::string &batchKey, const BulkPlace &place,
                  const std::vector<Result> &results) -> std::string
{
    auto message = record::IndexRecord();
    auto &listed = *message.mutable_listed();
    listed.set_batch_id(idOf(batchKey));
    listed.set_workspace(workspaceOf(batchKey));
    listed.set_bulk_partition(place.partition);
    listed.set_bulk_offset(place.offset);
    for (const auto &result : results)
        listed.add_items(result.item);
    return message.SerializeAsString();
}

auto encodeEnd(const std::string &batchKey) -> std::string
{
    auto message = record::IndexRecord();
    message.mutable_end()->set_batch_id(idOf(batchKey));
    message.mutable_end()->set_workspace(workspaceOf(batchKey));
    return message.SerializeAsString();
}

auto SubmissionAssembler::addRecord(const std::string &data) -> void
{
    auto message = record::BulkRecord();
    if (!message.ParseFromString(data) || !message.has_part())
        return;
    const auto &part = message.part();
    if (part.batch_id() != m_batchId || part.attempt() != m_attempt || part.index() >= part.count()
        || part.count() > MAX_PARTS)
        return;
    m_parts.resize(part.count());
    if (!m_parts[part.index()].empty())
        return;
    m_parts[part.index()] = part.data();
    ++m_present;
}

auto SubmissionAssembler::finish() const -> std::optional<Submission>
{
    auto data = std::string();
    for (const auto &part : m_parts)
        data += part;
    auto message = record::Submission();
    if (!message.ParseFromString(data))
        return std::nullopt;
    auto submission = Submission();
    auto &head = submission.head;
    head.id = message.id();
    head.host = message.host();
    head.path = message.path();
    head.owner = readOwner(message.workspace(), message.shared());
    head.model = message.model();
    head.minVersion = message.min_version();
    head.step = message.step();
    head.groupCount = message.group_count();
    head.submittedMs = message.submitted_ms();
    submission.items.reserve(static_cast<std::size_t>(message.items_size()));
    for (const auto &item : message.items())
        submission.items.push_back(fromMessage(item));
    return submission;
}

auto decodeResults(const std::string &data, const std::string &batchKey)
    -> std::optional<std::vector<Result>>
{
    auto message = record::BulkRecord();
    if (!message.ParseFromString(data) || !message.has_results()
        || message.results().batch_id() != idOf(batchKey))
        return std::nullopt;
    auto results = std::vector<Result>();
    for (auto &stored : *message.mutable_results()->mutable_results()) {
        auto &result = results.emplace_back();
        result.itemId = stored.item_id();
        result.lost = stored.lost();
        result.text = std::move(*stored.mutable_text());
        result.versions.assign(stored.versions().begin(), stored.versions().end());
        result.score = stored.score();
    }
    return results;
}

auto decodeProgress(const std::string &data, const std::string &batchKey)
    -> std::optional<std::vector<Progress>>
{
    auto message = record::BulkRecord();
    if (!message.ParseFromString(data) || !message.has_progress()
        || message.progress().batch_id() != idOf(batchKey))
        return std::nullopt;
    auto items = std::vector<Progress>();
    for (const auto &stored : message.progress().items()) {
        auto &progress = items.emplace_back();
        progress.item = stored.item();
        progress.lastEvent = stored.last_event();
        progress.events = stored.events();
        progress.text = stored.text();
        progress.versions.assign(stored.versions().begin(), stored.versions().end());
        progress.complete = stored.complete();
        progress.software = stored.software();
    }
    return items;
}

} // namespace nutmegplank::version::batch
