#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "base/hash.h"
#include "base/status.h"
#include "base/text.h"
#include "process/clock/clock.h"
#include "request/step/internal/stepsession.h"

namespace nutmegplank::request::step {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr auto INITIAL_RETRY_DELAY = base::Duration(std::chrono::milliseconds(50));
constexpr auto MAX_RETRY_DELAY = base::Duration(std::chrono::seconds(2));
constexpr auto HTTP_OK = std::uint32_t(200);

//! The first route to \a service, which gives path and idempotence of its calls; a non-idempotent
//! default with the path /score when there is none.
auto findRoute(const version::configuration::Configuration &configuration,
               const std::string &service) -> version::configuration::Route
{
    for (const auto &[name, route] : configuration.routes) {
        if (route.service == service)
            return route;
    }
    auto defaultRoute = version::configuration::Route {};
    defaultRoute.service = service;
    defaultRoute.pathPrefix = "/score";
    return defaultRoute;
}

auto parseScore(const std::string &body) -> std::optional<double>
{
    auto error = json::error_code();
    const auto value = json::parse(body, error);
    if (error || !value.is_object())
        return std::nullopt;
    const auto *score = value.get_object().if_contains("score");
    if (score == nullptr || !score->is_number())
        return std::nullopt;
    return score->to_number<double>();
}

auto makeScoringBody(const std::string &prompt, const std::string &slot, const Sample &sample)
    -> std::string
{
    auto body = json::object();
    body["prompt"] = prompt;
    body["slot"] = slot;
    body["text"] = sample.text;
    return json::serialize(body);
}

} // namespace

//! Calls the scoring service. A call that may have run is repeated only if the service's route is
//! idempotent. Otherwise the sample is discarded, and the slot's next sample is scored by a new
//! call.
auto StepSession::score(GenerationStart start, Sample sample,
                        std::shared_ptr<execution::ICancellation> cancellation)
    -> asio::awaitable<absl::StatusOr<Sample>>
{
    const auto self = shared_from_this();
    const auto service = m_machine.spec().scoringService;
    const auto prompt = m_machine.spec().groups[start.group].prompt;
    const auto slot = m_machine.slotName(start.group, start.index);
    auto retryDelay = INITIAL_RETRY_DELAY;
    auto timer = asio::steady_timer(m_strand);
    while (!m_closed && m_cancellations.contains(start.attempt)) {
        const auto state = m_resources.log.state();
        const auto route = findRoute(*state->configuration, service);
        auto spec = execution::RequestSpec {};
        spec.requestId = base::randomId();
        spec.workspace = m_caller.workspace;
        spec.service = service;
        spec.priority = wire::PRIORITY_STRAGGLER;
        spec.deadline = process::clock::now() + m_resources.policy.generationTimeout;
        spec.target = route.pathPrefix;
        spec.headers.push_back({ "Content-Type", "application/json" });
        spec.body = makeScoringBody(prompt, slot, sample);
        spec.idempotent = route.idempotent;
        auto hooks = execution::RunHooks {};
        const auto outcome =
            co_await m_resources.runner.run(std::move(spec), std::move(hooks), cancellation);
        if (outcome.ok && outcome.status == HTTP_OK) {
            sample.score = parseScore(outcome.body);
            if (sample.score)
                co_return std::move(sample);
        }
        const auto certainlyNotRun = !outcome.ok && outcome.refusal.ran == wire::RAN_NOT_RUN;
        if (!certainlyNotRun && !route.idempotent)
            break;
        timer.expires_after(retryDelay);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        retryDelay = std::min(retryDelay * 2, MAX_RETRY_DELAY);
    }
    co_return base::makeError(absl::StatusCode::kUnavailable, "no score",
                              { "step.score", service });
}

} // namespace nutmegplank::request::step
