#include "request/rollout/itemrequest.h"

#include "connection/backend/cleanheaders.h"

namespace nutmegplank::request::rollout {

namespace {

//! Items with much output left get the more urgent (lower) value: engines admit them first and
//! preempt them last.
constexpr auto LONG_OUTPUT_TOKENS = std::uint64_t(1500);
constexpr auto LONG_OUTPUT_URGENCY = 2U;
constexpr auto DEFAULT_URGENCY = 5U;

} // namespace

auto buildItemRequest(const OpenBatch &batch, std::size_t index, const EngineLoad &engine,
                      const serverprotocol::IServerProtocol &protocol, std::int64_t wallClockMs)
    -> connection::http::Request
{
    const auto &head = batch.submission->head;
    const auto &source = batch.submission->items[index];
    const auto &item = batch.items[index];
    auto request = connection::http::Request();
    request.method = "POST";
    request.target = source.path;
    // Former versions of this program kept the headers as they came.
    request.headers = connection::backend::cleanHeaders(source.headers);
    request.headers.push_back({ "Host", head.host });
    request.body = source.body;
    auto envelope = serverprotocol::Envelope();
    envelope.serverId = engine.id;
    envelope.workspace = head.owner.workspace;
    envelope.timeLeft = std::chrono::milliseconds(batch.expiresAtMs - wallClockMs);
    envelope.urgency = expectedRemainingTokens(batch, index) >= LONG_OUTPUT_TOKENS
        ? LONG_OUTPUT_URGENCY
        : DEFAULT_URGENCY;
    if (!item.transcript->empty())
        envelope.lastEvent = item.transcript->lastId();
    if (item.route->singleVersion)
        envelope.weightVersion = engine.modelVersion.at(head.model);
    protocol.addEnvelope(request, envelope);
    return request;
}

} // namespace nutmegplank::request::rollout
