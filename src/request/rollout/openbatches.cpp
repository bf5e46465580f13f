#include "request/rollout/openbatches.h"

#include <algorithm>

namespace nutmegplank::request::rollout {

auto OpenBatches::add(OpenBatch batch, const std::vector<version::batch::Progress> &progress,
                      base::TimePoint now) -> Added
{
    assignGroups(batch);
    const auto resumed = restoreProgress(batch, progress);
    const auto carried = restoreProgress(batch, takeTexts(batch, now));
    const auto key = batch.key;
    return { m_batches.emplace(key, std::move(batch)).first->second, resumed, carried };
}

auto OpenBatches::remove(const std::string &key, base::TimePoint now) -> void
{
    const auto found = m_batches.find(key);
    if (found == m_batches.end())
        return;
    keepTexts(found->second, now);
    m_batches.erase(found);
}

auto OpenBatches::clear() -> void
{
    m_batches.clear();
    m_carriedTexts.clear();
}

auto OpenBatches::keepTexts(const OpenBatch &batch, base::TimePoint now) -> void
{
    const auto &submission = *batch.submission;
    for (auto index = std::size_t(0); index < batch.items.size(); ++index) {
        const auto &item = batch.items[index];
        if (item.state != ItemState::Done)
            m_carriedTexts.keep(submission.head.owner.workspace, submission.items[index],
                                progressOf(batch, index), now);
    }
}

auto OpenBatches::takeTexts(const OpenBatch &batch, base::TimePoint now)
    -> std::vector<version::batch::Progress>
{
    const auto &submission = *batch.submission;
    auto texts = std::vector<version::batch::Progress>();
    for (auto index = std::size_t(0); index < batch.items.size(); ++index) {
        const auto &item = batch.items[index];
        if (item.state == ItemState::Done)
            continue;
        const auto singleVersion = item.route != nullptr && item.route->singleVersion;
        auto text = m_carriedTexts.take(submission.head.owner.workspace, submission.items[index],
                                        submission.head.minVersion, singleVersion, now);
        if (!text.has_value())
            continue;
        text->item = static_cast<std::uint32_t>(index);
        texts.push_back(std::move(*text));
    }
    return texts;
}

auto OpenBatches::collectProgress(std::uint32_t minNewEvents)
    -> std::map<std::string, std::vector<version::batch::Progress>>
{
    auto progressByBatch = std::map<std::string, std::vector<version::batch::Progress>>();
    for (auto &[id, batch] : m_batches) {
        for (auto index = std::size_t(0); index < batch.items.size(); ++index) {
            auto &item = batch.items[index];
            const auto &transcript = *item.transcript;
            if (item.state == ItemState::Done || transcript.empty())
                continue;
            const auto complete = item.state == ItemState::Scoring;
            const auto newlyComplete = complete && !item.savedComplete;
            if (transcript.eventCount() < item.savedEvents + minNewEvents && !newlyComplete)
                continue;
            item.savedEvents = transcript.eventCount();
            item.savedComplete = complete;
            progressByBatch[id].push_back(progressOf(batch, index));
        }
    }
    return progressByBatch;
}

auto OpenBatches::demand() const -> std::map<std::string, double>
{
    auto tokens = std::map<std::string, double>();
    for (const auto &[id, batch] : m_batches) {
        for (auto index = std::size_t(0); index < batch.items.size(); ++index) {
            if (batch.items[index].state != ItemState::Done)
                tokens[batch.submission->head.model] +=
                    static_cast<double>(expectedRemainingTokens(batch, index));
        }
    }
    return tokens;
}

auto OpenBatches::neededVersion(const std::string &model) const -> std::uint64_t
{
    auto needed = std::uint64_t(0);
    for (const auto &[id, batch] : m_batches) {
        if (batch.submission->head.model == model)
            needed = std::max(needed, batch.submission->head.minVersion);
    }
    return needed;
}

auto OpenBatches::collectWaiting(std::vector<WaitingItem> &waiting, std::vector<ItemKey> &keys,
                                 base::TimePoint now) const -> void
{
    for (const auto &[id, batch] : m_batches) {
        for (auto index = std::size_t(0); index < batch.items.size(); ++index) {
            const auto &item = batch.items[index];
            if (item.state != ItemState::Waiting || now < item.notBefore)
                continue;
            waiting.push_back(describeWaiting(batch, index, keys.size()));
            keys.push_back({ id, index });
        }
    }
}

auto OpenBatches::reserveRunning(std::vector<EngineLoad> &engines) const -> void
{
    auto enginesById = std::map<std::string_view, EngineLoad *>();
    for (auto &engine : engines)
        enginesById[engine.id] = &engine;
    for (const auto &[id, batch] : m_batches) {
        for (auto index = std::size_t(0); index < batch.items.size(); ++index) {
            const auto &item = batch.items[index];
            if (item.state != ItemState::Running)
                continue;
            const auto found = enginesById.find(item.engine);
            if (found != enginesById.end())
                found->second->reservedTokens += batch.submission->items[index].promptTokens
                    + expectedRemainingTokens(batch, index);
        }
    }
}

} // namespace nutmegplank::request::rollout
