#include "version/batch/batchlog.h"

#include "process/logging/logging.h"
#include "version/batch/batchcodec.h"

namespace nutmegplank::version::batch {

namespace logging = process::logging;

auto BatchLog::apply(const journal::Record &record) -> void
{
    auto message = record::BatchRecord();
    if (!message.ParseFromString(record.data)) {
        logging::error("batch.malformed_record", { { "offset", record.offset } });
        return;
    }
    switch (message.content_case()) {
    case record::BatchRecord::kPart:
        applyPart(message.part(), record.offset);
        return;
    case record::BatchRecord::kResults:
        applyResults(message.results());
        return;
    case record::BatchRecord::kEnd:
        applyEnd(message.end().batch_id());
        return;
    case record::BatchRecord::CONTENT_NOT_SET:
        logging::error("batch.malformed_record", { { "offset", record.offset } });
        return;
    }
}

auto BatchLog::applyPart(const record::SubmissionPart &part, std::uint64_t offset) -> void
{
    if (m_batches.contains(part.batch_id()))
        return;
    auto &parts = m_parts[part.attempt()];
    parts.data.resize(std::max<std::size_t>(part.count(), part.index() + 1));
    if (parts.data[part.index()].empty()) {
        parts.data[part.index()] = part.data();
        ++parts.present;
    }
    if (parts.present < parts.data.size())
        return;
    auto data = std::string();
    for (const auto &piece : parts.data)
        data += piece;
    m_parts.erase(part.attempt());
    auto submission = decodeSubmission(data);
    if (submission.has_value())
        accept(std::move(*submission));
    else
        logging::error("batch.malformed_submission",
                       { { "batch", part.batch_id() }, { "offset", offset } });
}

auto BatchLog::accept(Submission submission) -> void
{
    auto batch = std::make_unique<Batch>();
    batch->listed.resize(submission.items.size());
    batch->ended = m_endedEarly.contains(submission.id);
    batch->submission = std::move(submission);
    for (const auto &item : batch->submission.items)
        m_bytes += item.body.size();
    const auto &id = batch->submission.id;
    const auto &stored = *m_batches.emplace(id, std::move(batch)).first->second;
    if (m_hooks.onAccepted)
        m_hooks.onAccepted(stored);
}

auto BatchLog::applyResults(const record::Results &results) -> void
{
    const auto found = m_batches.find(results.batch_id());
    if (found == m_batches.end())
        return;
    auto &batch = *found->second;
    for (const auto &message : results.results()) {
        // An item that two executors finished stands once: the first result in the log holds.
        if (message.item() >= batch.listed.size() || batch.listed[message.item()])
            continue;
        batch.listed[message.item()] = true;
        batch.results.push_back(decodeResult(message));
        m_bytes += message.text().size();
        releaseBody(batch.submission.items[message.item()]);
    }
    if (m_hooks.onResults)
        m_hooks.onResults(batch);
}

auto BatchLog::applyEnd(const std::string &id) -> void
{
    const auto found = m_batches.find(id);
    if (found == m_batches.end()) {
        m_endedEarly.insert(id);
        return;
    }
    auto &batch = *found->second;
    if (batch.ended)
        return;
    batch.ended = true;
    for (auto &item : batch.submission.items)
        releaseBody(item);
    if (m_hooks.onEnded)
        m_hooks.onEnded(batch);
}

auto BatchLog::releaseBody(Item &item) -> void
{
    m_bytes -= item.body.size();
    std::string().swap(item.body);
    connection::http::Headers().swap(item.headers);
}

auto BatchLog::find(const std::string &id) const -> const Batch *
{
    const auto found = m_batches.find(id);
    return found == m_batches.end() ? nullptr : found->second.get();
}

auto BatchLog::forget(std::int64_t submittedBeforeMs) -> void
{
    for (auto entry = m_batches.begin(); entry != m_batches.end();) {
        const auto &batch = *entry->second;
        if (batch.open() || batch.submission.submittedMs >= submittedBeforeMs) {
            ++entry;
            continue;
        }
        for (const auto &item : batch.submission.items)
            m_bytes -= item.body.size();
        for (const auto &result : batch.results)
            m_bytes -= result.text.size();
        entry = m_batches.erase(entry);
    }
}

} // namespace nutmegplank::version::batch
