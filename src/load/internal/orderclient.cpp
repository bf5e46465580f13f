#include "load/orderclient.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "base/text.h"
#include "load/exchange.h"
#include "load/tokens.h"
#include "process/clock/clock.h"

namespace nutmegplank::load {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr auto SHORTEST_RETRY = base::Duration(std::chrono::milliseconds(50));
constexpr auto LONGEST_RETRY = base::Duration(std::chrono::seconds(2));
constexpr auto END_POLL = std::chrono::milliseconds(10);
constexpr auto HTTP_OK = 200;
constexpr auto KILLER_WORD = "CRASH"; //!< Stand-in engines crash upon it.
constexpr auto KILLER_TOKENS = 8;

auto pause(base::Duration time) -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(co_await asio::this_coro::executor);
    timer.expires_after(time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

auto parsed(const std::string &body) -> json::object
{
    auto error = json::error_code();
    auto value = json::parse(body, error);
    return error || !value.is_object() ? json::object() : value.get_object();
}

auto confirms(const std::string &body, const std::string &id) -> bool
{
    const auto answer = parsed(body);
    const auto *confirmation = answer.if_contains("confirmation");
    return confirmation != nullptr && confirmation->is_string()
        && confirmation->get_string() == confirmationOf(id);
}

} // namespace

auto OrderCounts::add(const OrderCounts &other) -> void
{
    sent += other.sent;
    confirmed += other.confirmed;
    wrongAnswers += other.wrongAnswers;
    unknown += other.unknown;
    refusedNotRun += other.refusedNotRun;
    gaveUp += other.gaveUp;
    connectFailed += other.connectFailed;
    otherStatus += other.otherStatus;
    for (const auto &[code, count] : other.refusals)
        refusals[code] += count;
}

OrderClient::OrderClient(OrderPlan plan, std::uint64_t seed,
                         std::shared_ptr<AddressClient> addresses)
    : m_plan(std::move(plan))
    , m_seed(seed)
    , m_addresses(std::move(addresses))
{ }

auto OrderClient::makeRequest(const std::string &id) const -> connection::http::Request
{
    auto body = json::object();
    if (m_plan.killer) {
        body["prompt"] = base::concat(KILLER_WORD, " ", m_plan.name);
        body["max_tokens"] = KILLER_TOKENS;
        body["seed"] = 1;
    } else {
        body["order"] = id;
    }
    auto request = jsonPost(m_plan.path, m_plan.key, json::serialize(body));
    if (m_plan.idempotencyKeys)
        request.headers.push_back({ "Idempotency-Key", id });
    return request;
}

auto OrderClient::readRefusal(const std::string &body) -> Try
{
    auto outcome = Try {};
    outcome.end = TryEnd::OtherStatus;
    const auto answer = parsed(body);
    const auto *error = answer.if_contains("error");
    if (error == nullptr || !error->is_object() || !error->get_object().contains("ran"))
        return outcome;
    const auto &refusal = error->get_object();
    const auto notRun = refusal.at("ran") == "not_run";
    outcome.end = notRun ? TryEnd::NotRun : TryEnd::Unknown;
    m_counts.refusedNotRun += notRun ? 1 : 0;
    const auto *code = refusal.if_contains("code");
    if (code != nullptr && code->is_string())
        ++m_counts.refusals[code->get_string().c_str()];
    const auto *wait = refusal.if_contains("retry_after_ms");
    if (wait != nullptr && wait->is_int64())
        outcome.retryAfter = std::chrono::milliseconds(wait->get_int64());
    return outcome;
}

auto OrderClient::tryOnce(std::string id) -> asio::awaitable<Try>
{
    auto request = makeRequest(id);
    const auto gateway = co_await m_addresses->pick();
    const auto timeout = base::Duration(std::chrono::milliseconds(m_plan.timeoutMs));
    const auto result = co_await exchange(gateway, std::move(request), timeout);
    auto outcome = Try {};
    if (result.end != ExchangeEnd::Answered)
        m_addresses->noteFailure(gateway, process::clock::now());
    if (result.end == ExchangeEnd::NotSent) {
        ++m_counts.connectFailed;
        outcome.end = TryEnd::NotRun;
        co_return outcome;
    }
    if (result.end == ExchangeEnd::Unknown)
        co_return outcome;
    if (result.response.status != HTTP_OK)
        co_return readRefusal(result.response.body);
    const auto confirmed = m_plan.killer || confirms(result.response.body, id);
    outcome.end = confirmed ? TryEnd::Confirmed : TryEnd::WrongAnswer;
    co_return outcome;
}

auto OrderClient::settle(TryEnd end, base::TimePoint begun) -> void
{
    switch (end) {
    case TryEnd::Confirmed:
        ++m_counts.confirmed;
        m_latencies.record(process::clock::now() - begun);
        return;
    case TryEnd::WrongAnswer:
        ++m_counts.wrongAnswers;
        return;
    case TryEnd::NotRun:
        ++m_counts.gaveUp;
        return;
    case TryEnd::Unknown:
        ++m_counts.unknown;
        return;
    case TryEnd::OtherStatus:
        ++m_counts.otherStatus;
        return;
    }
}

auto OrderClient::runOrder(std::string id, base::TimePoint deadline) -> asio::awaitable<void>
{
    const auto begun = process::clock::now();
    auto last = TryEnd::NotRun;
    auto wait = SHORTEST_RETRY;
    while (process::clock::now() < deadline) {
        const auto outcome = co_await tryOnce(id);
        last = outcome.end;
        const auto again =
            last == TryEnd::NotRun || (last == TryEnd::Unknown && m_plan.idempotencyKeys);
        if (!again)
            break;
        co_await pause(std::clamp(outcome.retryAfter, wait, LONGEST_RETRY));
        wait = std::min(wait * 2, LONGEST_RETRY);
    }
    settle(last, begun);
    --m_open;
}

auto OrderClient::run(base::TimePoint deadline) -> asio::awaitable<void>
{
    const auto executor = co_await asio::this_coro::executor;
    const auto begun = process::clock::now();
    for (auto number = std::uint32_t(0); number < m_plan.count; ++number) {
        const auto due = begun
            + std::chrono::duration_cast<base::Duration>(
                             std::chrono::duration<double>(number / m_plan.perSecond));
        const auto now = process::clock::now();
        if (now >= deadline)
            break;
        if (due > now)
            co_await pause(due - now);
        ++m_counts.sent;
        ++m_open;
        auto id = base::concat(m_plan.name, "-", m_seed, "-", number);
        const auto send = [this, id, deadline]() { return runOrder(id, deadline); };
        asio::co_spawn(executor, send, asio::detached);
    }
    while (m_open > 0)
        co_await pause(END_POLL);
}

} // namespace nutmegplank::load
