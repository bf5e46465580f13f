#include "load/trainerclient.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "base/hash.h"
#include "base/text.h"
#include "load/exchange.h"
#include "process/clock/clock.h"

namespace nutmegplank::load {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr auto PULL_WAIT = std::chrono::milliseconds(1000);
constexpr auto PULL_TIMEOUT = base::Duration(std::chrono::seconds(4));
constexpr auto OPEN_TIMEOUT = base::Duration(std::chrono::seconds(4));
constexpr auto PUBLISH_TIMEOUT = base::Duration(std::chrono::seconds(12));
constexpr auto RETRY_PAUSE = std::chrono::milliseconds(100);
constexpr auto PUBLISH_POLL = base::Duration(std::chrono::milliseconds(50));
constexpr auto MOST_SAMPLES = 64;
constexpr auto GROUP_SEEDS = std::uint64_t(100'000);
constexpr auto HTTP_OK = 200;
constexpr auto HTTP_CREATED = 201;
constexpr auto HTTP_CONFLICT = 409;

auto pause(base::Duration time) -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(co_await asio::this_coro::executor);
    timer.expires_after(time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

auto flag(const json::object &object, std::string_view field) -> bool
{
    const auto *value = object.if_contains({ field.data(), field.size() });
    return value != nullptr && value->is_bool() && value->get_bool();
}

} // namespace

//! One step while it runs.
struct TrainerClient::Step
{
    std::string id;
    std::string gateway;
    std::uint64_t epoch = 0;
    json::array groups;
    std::uint64_t slots = 0;
    ReceivedSamples received;
    std::vector<std::string> unacknowledged;
    bool everOpened = false;
};

TrainerClient::TrainerClient(TrainerPlan plan, std::uint64_t seed,
                             std::shared_ptr<AddressClient> addresses)
    : m_plan(std::move(plan))
    , m_seed(seed)
    , m_addresses(std::move(addresses))
{ }

auto TrainerClient::makeStep(std::uint32_t number) const -> Step
{
    auto groups = json::array();
    auto expected = std::map<std::string, ExpectedSlot>();
    for (auto index = std::uint32_t(0); index < m_plan.groups; ++index) {
        const auto isLong = m_plan.longEvery > 0 && index % m_plan.longEvery == 0;
        const auto tokens = isLong ? m_plan.longTokens : m_plan.maxTokens;
        const auto name = base::concat("g", index);
        const auto prompt = base::concat("A quotation for ", m_plan.name, ", order ", m_seed, "-",
                                         number, "-", index);
        const auto seed = (number * m_plan.groups + index) * GROUP_SEEDS;
        auto group = json::object();
        group["group"] = name;
        group["prompt"] = prompt;
        group["samples"] = m_plan.samplesPerGroup;
        group["max_tokens"] = tokens;
        group["seed"] = seed;
        groups.push_back(std::move(group));
        for (auto slot = std::uint32_t(0); slot < m_plan.samplesPerGroup; ++slot)
            expected[base::concat(name, "/", slot)] = ExpectedSlot { prompt, seed + slot, tokens };
    }
    const auto slots = expected.size();
    return Step { base::concat(m_plan.name, "-", m_seed, "-", number),
                  "",
                  0,
                  std::move(groups),
                  slots,
                  ReceivedSamples(std::move(expected)),
                  {},
                  false };
}

auto TrainerClient::open(Step &step) -> asio::awaitable<bool>
{
    step.gateway = co_await m_addresses->pick();
    // An open whose answer is lost may have taken effect, so each try has an epoch of its own.
    ++step.epoch;
    auto body = json::object();
    body["step"] = step.id;
    body["epoch"] = step.epoch;
    body["service"] = m_plan.service;
    body["max_staleness"] = m_plan.maxStaleness;
    body["trainer_version"] = m_version;
    body["groups"] = step.groups;
    body["held"] = json::value_from(step.received.heldSlots());
    if (!m_plan.scoring.empty())
        body["scoring"] = m_plan.scoring;
    auto request = jsonPost("/v1/steps", m_plan.key, json::serialize(body));
    const auto result = co_await exchange(step.gateway, std::move(request), OPEN_TIMEOUT);
    if (result.end == ExchangeEnd::Answered && result.response.status == HTTP_CREATED) {
        step.received.noteAcknowledged(step.unacknowledged);
        step.unacknowledged.clear();
        if (step.everOpened)
            ++m_counts.reopened;
        step.everOpened = true;
        co_return true;
    }
    ++m_counts.callsRepeated;
    if (result.end != ExchangeEnd::Answered)
        m_addresses->noteFailure(step.gateway, process::clock::now());
    co_return false;
}

auto TrainerClient::takeAnswer(Step &step, const std::string &body, std::uint64_t statedVersion)
    -> PullEnd
{
    auto error = json::error_code();
    const auto value = json::parse(body, error);
    if (error || !value.is_object() || !value.get_object().contains("samples")) {
        ++m_counts.badAnswers;
        return PullEnd::Reopen;
    }
    for (const auto &entry : value.get_object().at("samples").as_array()) {
        const auto sample = readSample(entry);
        if (!sample) {
            ++m_counts.badAnswers;
            continue;
        }
        step.received.take(*sample, statedVersion, m_plan.maxStaleness);
        step.unacknowledged.push_back(sample->slot);
    }
    if (flag(value.get_object(), "complete"))
        return PullEnd::Complete;
    return flag(value.get_object(), "moved") ? PullEnd::Reopen : PullEnd::Continue;
}

auto TrainerClient::pull(Step &step) -> asio::awaitable<PullEnd>
{
    const auto stated = m_version;
    const auto acknowledged = step.unacknowledged;
    auto body = json::object();
    body["epoch"] = step.epoch;
    body["trainer_version"] = stated;
    body["acknowledge"] = json::value_from(acknowledged);
    body["max"] = MOST_SAMPLES;
    body["wait_ms"] = PULL_WAIT.count();
    auto request =
        jsonPost(base::concat("/v1/steps/", step.id, "/pull"), m_plan.key, json::serialize(body));
    const auto result = co_await exchange(step.gateway, std::move(request), PULL_TIMEOUT);
    if (result.end != ExchangeEnd::Answered) {
        ++m_counts.callsRepeated;
        m_addresses->noteFailure(step.gateway, process::clock::now());
        co_return PullEnd::Reopen;
    }
    if (result.response.status != HTTP_OK) {
        ++m_counts.callsRepeated;
        co_await pause(RETRY_PAUSE);
        co_return PullEnd::Reopen;
    }
    step.received.noteAcknowledged(acknowledged);
    step.unacknowledged.clear();
    const auto end = takeAnswer(step, result.response.body, stated);
    co_await train(step.unacknowledged.size());
    co_return end;
}

auto TrainerClient::train(std::size_t samples) -> asio::awaitable<void>
{
    const auto time = std::chrono::microseconds(m_plan.trainUsPerSample * samples);
    if (time.count() == 0)
        co_return;
    co_await pause(time);
    m_trained += time;
}

auto TrainerClient::close(Step &step) -> asio::awaitable<void>
{
    auto request = connection::http::Request {};
    request.method = "DELETE";
    request.target = base::concat("/v1/steps/", step.id, "?epoch=", step.epoch);
    request.headers.push_back({ "Authorization", "Bearer " + m_plan.key });
    const auto result = co_await exchange(step.gateway, std::move(request), OPEN_TIMEOUT);
    if (result.end != ExchangeEnd::Answered)
        ++m_counts.callsRepeated;
}

auto TrainerClient::runStep(Step &step, base::TimePoint deadline) -> asio::awaitable<bool>
{
    auto isOpen = false;
    while (process::clock::now() < deadline) {
        if (!isOpen) {
            isOpen = co_await open(step);
            if (!isOpen)
                co_await pause(RETRY_PAUSE);
            continue;
        }
        const auto end = co_await pull(step);
        if (end == PullEnd::Complete)
            break;
        isOpen = end == PullEnd::Continue;
    }
    if (isOpen)
        co_await close(step);
    co_return step.received.isComplete();
}

auto TrainerClient::run(base::TimePoint deadline) -> asio::awaitable<void>
{
    const auto begun = process::clock::now();
    for (auto number = std::uint32_t(0); number < m_plan.steps; ++number) {
        if (process::clock::now() >= deadline)
            break;
        auto step = makeStep(number);
        m_counts.samplesRequested += step.slots;
        m_counts.tokensRequested += step.received.expectedTokens();
        ++m_counts.stepsStarted;
        const auto complete = co_await runStep(step, deadline);
        m_counts.samples.add(step.received.counts());
        m_counts.stepsCompleted += complete ? 1 : 0;
        if (m_onStep)
            m_onStep(number);
    }
    m_counts.total = process::clock::now() - begun;
    m_counts.idle = m_counts.total - m_trained;
    m_ended = true;
}

auto TrainerClient::noteNewest(const std::string &body) -> void
{
    auto failed = json::error_code();
    const auto value = json::parse(body, failed);
    if (failed || !value.is_object())
        return;
    const auto *error = value.get_object().if_contains("error");
    if (error == nullptr || !error->is_object())
        return;
    const auto *newest = error->get_object().if_contains("newest");
    if (newest != nullptr && newest->is_int64())
        m_version = std::max(m_version, newest->to_number<std::uint64_t>());
}

auto TrainerClient::publish(std::uint64_t version) -> asio::awaitable<void>
{
    auto body = json::object();
    body["model"] = m_plan.service;
    body["version"] = version;
    body["source"] = base::concat("weights-", version);
    const auto gateway = co_await m_addresses->pick();
    auto request = jsonPost("/v1/weights", m_plan.key, json::serialize(body));
    const auto result = co_await exchange(gateway, std::move(request), PUBLISH_TIMEOUT);
    if (result.end == ExchangeEnd::Answered && result.response.status == HTTP_OK) {
        m_version = std::max(m_version, version);
        ++m_counts.weightsPublished;
        co_return;
    }
    ++m_counts.weightsRefused;
    if (result.end != ExchangeEnd::Answered)
        m_addresses->noteFailure(gateway, process::clock::now());
    else if (result.response.status == HTTP_CONFLICT)
        noteNewest(result.response.body);
}

auto TrainerClient::publishWeights(base::TimePoint deadline) -> asio::awaitable<void>
{
    if (m_plan.weightsEveryMs == 0)
        co_return;
    while (!m_ended && process::clock::now() < deadline) {
        const auto next = std::max(m_version + 1, m_plan.firstVersion);
        co_await publish(next);
        const auto due = process::clock::now() + std::chrono::milliseconds(m_plan.weightsEveryMs);
        while (!m_ended && process::clock::now() < due)
            co_await pause(std::min(PUBLISH_POLL, due - process::clock::now()));
    }
}

} // namespace nutmegplank::load
