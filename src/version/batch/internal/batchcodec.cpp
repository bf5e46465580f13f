#include "version/batch/batchcodec.h"

namespace nutmegplank::version::batch {

namespace {

//! Room in a record for everything beside the part's data.
constexpr auto ENVELOPE_BYTES = std::size_t(512);

auto toMessage(const Submission &submission) -> record::Submission
{
    auto message = record::Submission();
    message.set_id(submission.id);
    message.set_host(submission.host);
    message.set_path(submission.path);
    message.set_workspace(submission.workspace);
    message.set_model(submission.model);
    message.set_min_version(submission.minVersion);
    message.set_step(submission.step);
    message.set_group_count(submission.groupCount);
    message.set_submitted_ms(submission.submittedMs);
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
    return item;
}

} // namespace

auto encodeSubmission(const Submission &submission, const std::string &attempt,
                      std::size_t recordBytes) -> std::vector<std::string>
{
    const auto data = toMessage(submission).SerializeAsString();
    const auto partBytes = recordBytes - ENVELOPE_BYTES;
    const auto count = std::max<std::size_t>(1, (data.size() + partBytes - 1) / partBytes);
    auto records = std::vector<std::string>();
    for (auto index = std::size_t(0); index < count; ++index) {
        auto message = record::BatchRecord();
        auto &part = *message.mutable_part();
        part.set_batch_id(submission.id);
        part.set_attempt(attempt);
        part.set_index(static_cast<std::uint32_t>(index));
        part.set_count(static_cast<std::uint32_t>(count));
        part.set_data(data.substr(index * partBytes, partBytes));
        records.push_back(message.SerializeAsString());
    }
    return records;
}

auto encodeResults(const std::string &batchId, const std::vector<Result> &results) -> std::string
{
    auto message = record::BatchRecord();
    auto &list = *message.mutable_results();
    list.set_batch_id(batchId);
    for (const auto &result : results) {
        auto &added = *list.add_results();
        added.set_item(result.item);
        added.set_lost(result.lost);
        added.set_text(result.text);
        for (const auto version : result.versions)
            added.add_versions(version);
    }
    return message.SerializeAsString();
}

auto encodeEnd(const std::string &batchId) -> std::string
{
    auto message = record::BatchRecord();
    message.mutable_end()->set_batch_id(batchId);
    return message.SerializeAsString();
}

auto decodeSubmission(const std::string &data) -> std::optional<Submission>
{
    auto message = record::Submission();
    if (!message.ParseFromString(data))
        return std::nullopt;
    auto submission = Submission();
    submission.id = message.id();
    submission.host = message.host();
    submission.path = message.path();
    submission.workspace = message.workspace();
    submission.model = message.model();
    submission.minVersion = message.min_version();
    submission.step = message.step();
    submission.groupCount = message.group_count();
    submission.submittedMs = message.submitted_ms();
    for (const auto &item : message.items())
        submission.items.push_back(fromMessage(item));
    return submission;
}

auto decodeResult(const record::Result &message) -> Result
{
    auto result = Result { message.item(), message.lost(), message.text(), {} };
    result.versions.assign(message.versions().begin(), message.versions().end());
    return result;
}

} // namespace nutmegplank::version::batch
