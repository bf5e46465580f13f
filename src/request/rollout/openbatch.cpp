#include "request/rollout/openbatch.h"

#include "base/utf8.h"
#include "request/rollout/outputestimate.h"

namespace nutmegplank::request::rollout {

namespace {

//! A late item delays its whole batch, while one that ends early costs nothing.
constexpr auto PLANNED_QUANTILE = 0.8;

auto tokensPerEvent(const version::routing::RoutingTable &table,
                    const version::routing::Route &route) -> std::uint32_t
{
    const auto *service = table.findService(route.services.front().service);
    if (service == nullptr || !service->engine.has_value())
        return 1;
    return std::max(1U, service->engine->tokensPerEvent);
}

} // namespace

auto resolveRoutes(OpenBatch &batch, version::routing::RoutingTablePtr table) -> void
{
    if (table == nullptr || batch.table == table)
        return;
    batch.table = std::move(table);
    const auto &submission = *batch.submission;
    for (auto index = std::size_t(0); index < batch.items.size(); ++index) {
        auto &item = batch.items[index];
        item.route = batch.table->findRoute(submission.head.host,
                                            connection::http::pathOf(submission.items[index].path));
        if (item.route != nullptr)
            item.tokensPerEvent = tokensPerEvent(*batch.table, *item.route);
    }
}

auto assignGroups(OpenBatch &batch) -> void
{
    auto groups = std::map<std::string_view, std::uint32_t>();
    for (auto index = std::size_t(0); index < batch.items.size(); ++index) {
        const auto number = static_cast<std::uint32_t>(groups.size());
        auto &item = batch.items[index];
        item.group = groups.try_emplace(batch.submission->items[index].group, number).first->second;
        batch.unfinishedInGroup.resize(groups.size());
        if (item.state != ItemState::Done)
            ++batch.unfinishedInGroup[item.group];
    }
}

auto restoreProgress(OpenBatch &batch, const std::vector<version::batch::Progress> &progress)
    -> std::size_t
{
    auto restored = std::size_t(0);
    for (const auto &saved : progress) {
        if (saved.item >= batch.items.size() || batch.items[saved.item].state == ItemState::Done)
            continue;
        auto &item = batch.items[saved.item];
        const auto completes = saved.complete && item.state != ItemState::Scoring;
        if (saved.events <= item.transcript->eventCount() && !completes)
            continue;
        // No engine may resume a text if it is not known where the text began.
        if (saved.software.empty() && !saved.complete)
            continue;
        // Former versions of this program stored texts that no caller can read.
        if (!base::isUtf8(saved.text))
            continue;
        const auto &limit = item.transcript->limit();
        if (saved.events > limit.events || saved.text.size() > limit.bytes)
            continue;
        item.transcript->restore(saved.lastEvent, saved.events, saved.text, saved.versions,
                                 saved.software);
        item.savedEvents = saved.events;
        item.savedComplete = saved.complete;
        if (saved.complete)
            item.state = ItemState::Scoring;
        ++restored;
    }
    return restored;
}

auto progressOf(const OpenBatch &batch, std::size_t index) -> version::batch::Progress
{
    const auto &item = batch.items[index];
    const auto &transcript = *item.transcript;
    return { static_cast<std::uint32_t>(index),
             transcript.lastId(),
             transcript.eventCount(),
             transcript.text(),
             transcript.versions(),
             transcript.software(),
             item.state == ItemState::Scoring };
}

auto expectedRemainingTokens(const OpenBatch &batch, std::size_t index) -> std::uint64_t
{
    const auto &source = batch.submission->items[index];
    const auto &item = batch.items[index];
    if (item.state == ItemState::Scoring)
        return 0;
    const auto maxOutput =
        source.tokens > source.promptTokens ? source.tokens - source.promptTokens : 0;
    return expectedRemainingTokens(OutputEstimateInput {
        source.expectedOutput, maxOutput, item.transcript->eventCount(), item.tokensPerEvent });
}

auto hintEvents(const OpenBatch &batch, std::size_t index) -> double
{
    const auto hint = batch.submission->items[index].expectedOutput;
    return static_cast<double>(hint > 0 ? hint : DEFAULT_OUTPUT_TOKENS)
        / batch.items[index].tokensPerEvent;
}

auto cautiousRemainingEvents(const LengthHistory &lengths, const OpenBatch &batch,
                             std::size_t index) -> double
{
    const auto &item = batch.items[index];
    const auto &route = item.route == nullptr ? std::string() : item.route->name;
    return lengths.remainingEvents(route, hintEvents(batch, index), item.transcript->eventCount(),
                                   PLANNED_QUANTILE);
}

auto requestSize(const OpenBatch &batch, std::size_t index) -> process::health::RequestSize
{
    const auto &source = batch.submission->items[index];
    const auto &item = batch.items[index];
    auto size = process::health::RequestSize();
    if (source.tokens == 0 && source.promptTokens == 0) {
        size.bodyBytes = source.body.size();
        return size;
    }
    const auto generated = std::uint64_t(item.transcript->eventCount()) * item.tokensPerEvent;
    size.contextTokens = source.promptTokens + generated;
    size.totalTokens = std::max(source.tokens, size.contextTokens);
    return size;
}

auto describeWaiting(const OpenBatch &batch, std::size_t index, std::size_t handle) -> WaitingItem
{
    const auto &submission = *batch.submission;
    const auto &item = batch.items[index];
    auto entry = WaitingItem();
    entry.handle = handle;
    entry.model = submission.head.model;
    entry.minVersion = submission.head.minVersion;
    entry.expectedTokens = expectedRemainingTokens(batch, index);
    entry.contextTokens = submission.items[index].promptTokens;
    entry.size = requestSize(batch, index);
    entry.dueAt = batch.dueAt;
    entry.avoidedEngine = item.avoidedEngine;
    entry.route = item.route;
    entry.hasText = !item.transcript->empty();
    entry.software = item.transcript->software();
    entry.waitingSince = item.waitingSince;
    return entry;
}

} // namespace nutmegplank::request::rollout
