#include "app/node/batchcalls.h"

#include "base/status.h"
#include "process/clock/clock.h"
#include "process/logging/logging.h"
#include "version/batch/batchaccess.h"

namespace nutmegplank::app::node {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;
namespace logging = process::logging;
using request::call::CallKind;
using request::call::Refusal;
using request::call::RefusalCode;
using version::batch::AccessOutcome;
using version::journal::AppendOutcome;
using version::routing::OwnerKind;
using version::routing::RouteKind;

//! Longest wait of a reader for a result.
constexpr auto LONGEST_WAIT = std::chrono::milliseconds(1000);
//! A batch that was accepted elsewhere a moment ago is read within this.
constexpr auto ARRIVAL_TIME = std::chrono::milliseconds(400);
constexpr auto STATUS_OK = 200U;

//! Whether batches may come without a key.
auto takesOpenBatches(const version::routing::RoutingTable &table) -> bool
{
    return std::ranges::any_of(table.routes, [](const version::routing::Route &route) {
        return route.open && route.kind == RouteKind::Rollout;
    });
}

} // namespace

auto BatchCalls::answer(const Exchange &exchange) -> asio::awaitable<Answer>
{
    m_batches.requestFastRetries(process::clock::now());
    const auto found = co_await findBatch(exchange);
    if (const auto *refusal = std::get_if<Refusal>(&found); refusal != nullptr)
        co_return refuse(exchange, *refusal);
    const auto &key = std::get<std::string>(found);
    switch (exchange.call.kind) {
    case CallKind::ReadBody:
        co_return co_await readBody(exchange, key);
    case CallKind::EndBatch:
        co_return co_await endBatch(exchange, key);
    case CallKind::ReadResults:
    case CallKind::Request:
        break;
    }
    co_return co_await readResults(exchange, key);
}

auto BatchCalls::findBatch(const Exchange &exchange)
    -> asio::awaitable<std::variant<std::string, Refusal>>
{
    const auto &id = exchange.call.batchId;
    const auto &caller = exchange.caller;
    const auto &log = m_batches.log();
    const auto isAnonymous = caller.kind == OwnerKind::Anonymous;
    // Does not tell callers without a key whether others have a batch of this id.
    const auto notFound = isAnonymous ? Refusal { RefusalCode::UnknownKey, "the call needs a key" }
                                      : Refusal { RefusalCode::NoBatch, "no such batch" };
    auto access = findForCaller(log, caller, id);
    if (access.outcome == AccessOutcome::NotFound && isAnonymous
        && !takesOpenBatches(*exchange.table))
        co_return notFound;
    if (access.outcome == AccessOutcome::NotFound) {
        co_await m_batches.waitForChange(id, process::clock::now() + ARRIVAL_TIME);
        access = findForCaller(log, caller, id);
    }
    if (access.outcome == AccessOutcome::NotFound || mayBeSuperseded(access, caller)) {
        const auto hasRead = co_await hasReadLog(caller);
        if (!hasRead)
            co_return Refusal { RefusalCode::Unsure, "the log does not answer", STORE_RETRY };
        access = findForCaller(log, caller, id);
    }
    if (access.outcome == AccessOutcome::Ambiguous)
        co_return Refusal { RefusalCode::Unsure, "several workspaces have a batch of this id" };
    if (access.outcome == AccessOutcome::NotFound)
        co_return notFound;
    co_return access.batch->head.key();
}

//! Whether everything has been read that was in the log when \a caller asked. Callers without a
//! key cause no reads of the log, so that a crowd of them can't use up the machines' calls to it.
auto BatchCalls::hasReadLog(const version::routing::Owner &caller) -> asio::awaitable<bool>
{
    if (caller.kind == OwnerKind::Anonymous)
        co_return m_batches.current(process::clock::now());
    co_return co_await m_batches.readToEnd();
}

auto BatchCalls::readResults(const Exchange &exchange, const std::string &key)
    -> asio::awaitable<Answer>
{
    const auto &call = exchange.call;
    const auto wanted = exchange.receivedAt + std::min<base::Duration>(call.wait, LONGEST_WAIT);
    // Time to load the results is left.
    const auto waitUntil = [&] {
        return m_shutdown.limit(wanted + BATCH_CALL_TIME) - BATCH_CALL_TIME;
    };
    const auto *batch = m_batches.log().find(key);
    while (batch != nullptr && batch->listedCount <= call.position
           && process::clock::now() < waitUntil()) {
        co_await m_batches.waitForChange(call.batchId, waitUntil());
        batch = m_batches.log().find(key);
    }
    if (batch == nullptr)
        co_return refuse(exchange, { RefusalCode::Unsure, "the batch was dropped" });
    const auto total = batch->itemCount();
    // Another machine may have shown more: only a machine that knows the log's end may say that
    // there is nothing yet.
    if (batch->listedCount <= call.position && batch->listedCount < total
        && !m_batches.current(process::clock::now()))
        co_return refuse(exchange,
                         { RefusalCode::Unsure, "the log is not read to its end", STORE_RETRY });
    auto results = co_await m_batches.loadResults(key, call.position, m_protocol.maxResultBytes());
    if (!results.ok())
        co_return refuse(exchange,
                         { RefusalCode::Unsure, base::describe(results.status()), STORE_RETRY });
    co_return m_protocol.writeResults(total, call.position, std::move(*results));
}

auto BatchCalls::readBody(const Exchange &exchange, const std::string &key)
    -> asio::awaitable<Answer>
{
    auto submission = co_await m_batches.loadSubmission(key);
    const auto *batch = m_batches.log().find(key);
    if (!submission.ok() || batch == nullptr)
        co_return refuse(exchange,
                         { RefusalCode::Unsure, base::describe(submission.status()), STORE_RETRY });
    const auto &items = (*submission)->items;
    const auto found = std::ranges::find(items, exchange.call.itemId, &version::batch::Item::id);
    const auto index = static_cast<std::size_t>(found - items.begin());
    if (found == items.end() || batch->listed[index] || batch->ended)
        co_return refuse(exchange,
                         { RefusalCode::NoBatch, "the item is unknown, listed or ended" });
    auto answer = Answer();
    answer.body = found->body;
    answer.headers.push_back({ "Content-Type", "application/octet-stream" });
    co_return answer;
}

auto BatchCalls::endBatch(const Exchange &exchange, const std::string &key)
    -> asio::awaitable<Answer>
{
    if (m_batches.log().find(key)->ended)
        co_return http::jsonResponse(STATUS_OK, "{}");
    const auto result = co_await m_batches.end(key);
    logging::info(
        "batch.end_requested",
        { { "batch", exchange.call.batchId },
          { "workspace", exchange.caller.workspace },
          { "outcome", base::nameOf(version::journal::APPEND_OUTCOME_NAMES, result.outcome) } });
    if (result.outcome == AppendOutcome::Done)
        co_return http::jsonResponse(STATUS_OK, "{}");
    if (result.outcome == AppendOutcome::NotWritten || result.outcome == AppendOutcome::Rejected)
        co_return refuse(exchange, { RefusalCode::StoreUnavailable, result.detail, STORE_RETRY });
    co_return refuse(exchange, { RefusalCode::Unknown, result.detail });
}

auto BatchCalls::refuse(const Exchange &exchange, const Refusal &refusal) const -> Answer
{
    return app::node::refuse(m_protocol, exchange, refusal);
}

} // namespace nutmegplank::app::node
