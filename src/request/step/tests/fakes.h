#pragma once

#include <atomic>

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "base/text.h"
#include "load/tokens.h"
#include "request/step/istepservice.h"

namespace nutmegplank::request::step::tests {

class FakeCancellation : public execution::ICancellation
{
public:
    auto cancel(execution::Refusal) -> void override { cancelled = true; }
    std::atomic<bool> cancelled { false };
};

//! Simulates engines and a scoring service. Every refuseEvery-th run is refused and every
//! contradictEvery-th stream has a wrong token count; 0 switches the fault off.
class FakeRunner : public execution::IRequestRunner
{
public:
    std::atomic<std::uint64_t> weightVersion { 7 };
    std::atomic<std::uint32_t> refuseEvery { 0 };
    std::atomic<std::uint32_t> contradictEvery { 0 };
    std::atomic<bool> hangUntilCancelled { false };
    std::atomic<bool> loseNextScoring { false };
    std::atomic<std::uint32_t> runCount { 0 };
    std::atomic<std::uint32_t> scoringCount { 0 };
    std::atomic<std::uint32_t> cancelledCount { 0 };

    auto makeCancellation() -> std::shared_ptr<execution::ICancellation> override
    {
        return std::make_shared<FakeCancellation>();
    }
    auto run(execution::RequestSpec spec, execution::RunHooks,
             std::shared_ptr<execution::ICancellation> cancellation)
        -> boost::asio::awaitable<execution::RequestOutcome> override
    {
        namespace asio = boost::asio;
        auto timer = asio::steady_timer(co_await asio::this_coro::executor);
        auto outcome = execution::RequestOutcome {};
        const auto fakeCancellation = std::static_pointer_cast<FakeCancellation>(cancellation);
        do {
            timer.expires_after(std::chrono::milliseconds(1));
            co_await timer.async_wait(asio::use_awaitable);
        } while (hangUntilCancelled && !fakeCancellation->cancelled);
        if (fakeCancellation->cancelled) {
            ++cancelledCount;
            co_return outcome;
        }
        if (spec.service == "scorer")
            co_return score();
        const auto runNumber = ++runCount;
        if (refuseEvery > 0 && runNumber % refuseEvery == 0) {
            outcome.refusal.ran = wire::RAN_NOT_RUN;
            co_return outcome;
        }
        const auto isContradictory = contradictEvery > 0 && runNumber % contradictEvery == 0;
        outcome.ok = true;
        outcome.status = 200;
        outcome.body = makeEngineStream(spec.body, isContradictory);
        co_return outcome;
    }

private:
    auto score() -> execution::RequestOutcome
    {
        auto outcome = execution::RequestOutcome {};
        ++scoringCount;
        if (loseNextScoring.exchange(false)) {
            outcome.refusal.ran = wire::RAN_UNKNOWN;
            return outcome;
        }
        outcome.ok = true;
        outcome.status = 200;
        outcome.body = "{\"score\": 0.5}";
        return outcome;
    }

    auto makeEngineStream(const std::string &body, bool isContradictory) -> std::string
    {
        const auto request = boost::json::parse(body).as_object();
        const auto prompt = std::string(request.at("prompt").as_string().c_str());
        const auto seed = request.at("seed").to_number<std::uint64_t>();
        const auto count = request.at("max_tokens").to_number<std::uint32_t>();
        auto text = std::string();
        for (auto index = std::uint32_t(0); index < count; ++index) {
            const auto version = weightVersion.load();
            text += base::concat("data: {\"index\": ", index, ", \"tokens\": [\"",
                                 load::tokenAt(prompt, seed, index, version),
                                 "\"], \"weight_version\": ", version, "}\n\n");
        }
        return text
            + base::concat("data: {\"done\": true, \"generated_tokens\": ",
                           count + (isContradictory ? 1 : 0), "}\n\ndata: [DONE]\n\n");
    }
};

//! A platform log with fixed configuration, whose only records are new weights of "engine".
class FakeLog : public version::state::IPlatformLog
{
public:
    FakeLog()
    {
        auto configuration = std::make_shared<version::configuration::Configuration>();
        configuration->services["engine"].kind = version::configuration::ServiceKind::Engine;
        configuration->services["scorer"].name = "scorer";
        auto route = version::configuration::Route {};
        route.pathPrefix = "/score";
        route.service = "scorer";
        configuration->routes["score"] = route;
        m_state.configuration = configuration;
    }

    auto state() const -> version::state::LogStatePtr override
    {
        const auto lock = std::lock_guard(m_mutex);
        return std::make_shared<version::state::LogState>(m_state);
    }
    auto lastConfirmed() const -> base::TimePoint override { return {}; }
    auto append(version::state::RecordKind, std::string, boost::json::object body, base::Duration)
        -> boost::asio::awaitable<absl::StatusOr<std::uint64_t>> override
    {
        const auto lock = std::lock_guard(m_mutex);
        auto &weights = m_state.weights["engine"];
        weights.version = body.at("version").to_number<std::uint64_t>();
        weights.source = body.at("source").as_string().c_str();
        weights.offset = ++m_state.nextOffset;
        co_return weights.offset;
    }
    auto onChange(std::function<void(version::state::LogStatePtr)>) -> void override { }

private:
    mutable std::mutex m_mutex;
    version::state::LogState m_state;
};

//! Stores the response.
class FakeResponder : public connection::http::IHttpResponder
{
public:
    connection::http::Response sentResponse;

    auto respond(connection::http::Response response)
        -> boost::asio::awaitable<absl::Status> override
    {
        sentResponse = std::move(response);
        co_return absl::OkStatus();
    }
    auto startStream(connection::http::Response) -> boost::asio::awaitable<absl::Status> override
    {
        co_return absl::OkStatus();
    }
    auto writeChunk(std::string_view) -> boost::asio::awaitable<absl::Status> override
    {
        co_return absl::OkStatus();
    }
    auto endStream() -> boost::asio::awaitable<absl::Status> override
    {
        co_return absl::OkStatus();
    }
    auto abort() -> void override { }
    auto started() const -> bool override { return false; }
};

} // namespace nutmegplank::request::step::tests
