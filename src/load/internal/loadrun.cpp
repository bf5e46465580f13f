#include "load/loadrun.h"

#include <algorithm>

#include <boost/asio.hpp>

namespace nutmegplank::load {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

auto addCounts(TrainerCounts &sums, const TrainerCounts &other) -> void
{
    sums.samplesRequested += other.samplesRequested;
    sums.tokensRequested += other.tokensRequested;
    sums.samples.add(other.samples);
    sums.stepsStarted += other.stepsStarted;
    sums.stepsCompleted += other.stepsCompleted;
    sums.reopened += other.reopened;
    sums.callsRepeated += other.callsRepeated;
    sums.badAnswers += other.badAnswers;
    sums.weightsPublished += other.weightsPublished;
    sums.weightsRefused += other.weightsRefused;
    sums.idle += other.idle;
    sums.total += other.total;
}

auto addTrainerSummary(json::object &summary, const TrainerCounts &counts) -> void
{
    const auto &samples = counts.samples;
    summary["samples_requested"] = counts.samplesRequested;
    summary["samples_delivered"] = samples.delivered;
    summary["samples_repeated"] = samples.repeated;
    summary["samples_duplicated"] = samples.duplicated;
    summary["samples_mislabelled"] = samples.mislabelled;
    summary["samples_too_old"] = samples.tooOld;
    summary["steps_completed"] = counts.stepsCompleted;
    summary["steps_reopened"] = counts.reopened;
    summary["calls_repeated"] = counts.callsRepeated;
    summary["weights_published"] = counts.weightsPublished;
    summary["weights_refused"] = counts.weightsRefused;
    summary["idle_share"] = share(base::toSeconds(counts.idle), base::toSeconds(counts.total));
    summary["staleness_mean"] =
        share(static_cast<double>(samples.stalenessSum), static_cast<double>(samples.delivered));
    summary["staleness_worst"] = samples.stalenessWorst;
}

auto addOrderSummary(json::object &summary, const OrderCounts &counts) -> void
{
    summary["orders_sent"] = counts.sent;
    summary["orders_confirmed"] = counts.confirmed;
    summary["orders_wrong_answer"] = counts.wrongAnswers;
    summary["orders_unknown"] = counts.unknown;
    summary["orders_refused_not_run"] = counts.refusedNotRun;
    summary["orders_gave_up"] = counts.gaveUp;
    summary["orders_connect_failed"] = counts.connectFailed;
    summary["orders_other_status"] = counts.otherStatus;
    summary["refusals"] = json::value_from(counts.refusals);
}

auto addLatencies(json::object &summary, const Latencies &latencies) -> void
{
    summary["latency_p50_ms"] = latencies.percentile(0.5);
    summary["latency_p99_ms"] = latencies.percentile(0.99);
    summary["latency_p999_ms"] = latencies.percentile(0.999);
}

} // namespace

LoadRun::LoadRun(asio::io_context &context, std::vector<std::string> gateways, std::uint64_t seed)
    : m_strand(asio::make_strand(context))
    , m_seed(seed)
    , m_gateways(std::move(gateways))
{ }

auto LoadRun::addTrainer(TrainerPlan plan) -> void
{
    const auto seed = m_seed * 1000 + m_trainers.size();
    auto addresses = std::make_shared<AddressClient>(m_gateways, seed);
    m_trainers.push_back(
        std::make_unique<TrainerClient>(std::move(plan), m_seed, std::move(addresses)));
    auto &trainer = *m_trainers.back();
    trainer.onStep([this, &trainer](std::uint32_t number) {
        if (m_onStep)
            m_onStep(trainer, number);
    });
}

auto LoadRun::addOrders(OrderPlan plan) -> void
{
    const auto seed = m_seed * 1000 + 500 + m_desks.size();
    auto addresses = std::make_shared<AddressClient>(m_gateways, seed);
    m_desks.push_back(std::make_unique<OrderClient>(std::move(plan), m_seed, std::move(addresses)));
}

auto LoadRun::spawn(std::function<asio::awaitable<void>()> part) -> void
{
    ++m_open;
    asio::co_spawn(m_strand, std::move(part), [this](const std::exception_ptr &problem) {
        if (problem != nullptr)
            std::rethrow_exception(problem);
        if (--m_open == 0 && m_onEnd)
            m_onEnd();
    });
}

auto LoadRun::start(base::TimePoint deadline, std::function<void()> onEnd) -> void
{
    m_onEnd = std::move(onEnd);
    asio::post(m_strand, [this, deadline] {
        for (const auto &trainer : m_trainers) {
            auto *one = trainer.get();
            spawn([one, deadline] { return one->run(deadline); });
            spawn([one, deadline] { return one->publishWeights(deadline); });
        }
        for (const auto &desk : m_desks) {
            auto *one = desk.get();
            spawn([one, deadline] { return one->run(deadline); });
        }
        if (m_open == 0 && m_onEnd)
            m_onEnd();
    });
}

auto LoadRun::trainerSums() const -> TrainerCounts
{
    auto sums = TrainerCounts {};
    for (const auto &trainer : m_trainers)
        addCounts(sums, trainer->counts());
    return sums;
}

auto LoadRun::orderSums() const -> OrderCounts
{
    auto sums = OrderCounts {};
    for (const auto &desk : m_desks) {
        if (!desk->plan().killer)
            sums.add(desk->counts());
    }
    return sums;
}

auto LoadRun::summary() const -> json::object
{
    const auto trainers = trainerSums();
    const auto orders = orderSums();
    auto latencies = Latencies();
    for (const auto &desk : m_desks) {
        if (!desk->plan().killer)
            latencies.add(desk->latencies());
    }
    auto summary = json::object();
    addTrainerSummary(summary, trainers);
    addOrderSummary(summary, orders);
    addLatencies(summary, latencies);
    summary["requests_failed"] = trainers.stepsStarted - trainers.stepsCompleted
        + trainers.badAnswers + orders.gaveUp + orders.wrongAnswers + orders.otherStatus;
    return summary;
}

} // namespace nutmegplank::load
