#include "load/loadrun.h"

#include <algorithm>

#include <boost/asio.hpp>

namespace nutmegplank::load {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

//! Sums over the trainers of a run.
struct TrainerSums
{
    TrainerCounts counts;

    auto add(const TrainerCounts &other) -> void
    {
        counts.samplesRequested += other.samplesRequested;
        counts.samples.add(other.samples);
        counts.stepsCompleted += other.stepsCompleted;
        counts.reopened += other.reopened;
        counts.requestsFailed += other.requestsFailed;
        counts.weightsPublished += other.weightsPublished;
        counts.weightsRefused += other.weightsRefused;
        counts.idle += other.idle;
        counts.total += other.total;
    }
};

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
    summary["requests_failed"] = counts.requestsFailed;
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

auto LoadRun::summary() const -> json::object
{
    auto trainers = TrainerSums {};
    for (const auto &trainer : m_trainers)
        trainers.add(trainer->counts());
    auto orders = OrderCounts {};
    auto latencies = Latencies();
    for (const auto &desk : m_desks) {
        orders.add(desk->counts());
        latencies.add(desk->latencies());
    }
    auto summary = json::object();
    addTrainerSummary(summary, trainers.counts);
    addOrderSummary(summary, orders);
    addLatencies(summary, latencies);
    return summary;
}

} // namespace nutmegplank::load
