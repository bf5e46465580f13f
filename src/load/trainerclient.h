#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/timepoint.h"
#include "load/addressclient.h"
#include "load/receivedsamples.h"

namespace nutmegplank::load {

//! One trainer of a run.
struct TrainerPlan
{
    std::string name;
    std::string workspace; //!< For reports only.
    std::string key;
    std::string service;
    std::uint32_t steps = 1;
    std::uint32_t groups = 1;
    std::uint32_t samplesPerGroup = 1;
    std::uint32_t maxTokens = 1;
    //! Every so many groups one has long answers; 0 for none.
    std::uint32_t longEvery = 0;
    std::uint32_t longTokens = 0;
    std::uint32_t maxStaleness = 1;
    std::uint32_t weightsEveryMs = 0;   //!< 0: publishes none.
    std::uint32_t trainUsPerSample = 0; //!< Time that training on one sample takes.
    std::uint64_t firstVersion = 1;     //!< Of the weights that it publishes first.
    std::string scoring;
};

//! What a trainer has seen.
struct TrainerCounts
{
    std::uint64_t samplesRequested = 0;
    std::uint64_t tokensRequested = 0;
    SampleCounts samples;
    std::uint64_t stepsStarted = 0;
    std::uint64_t stepsCompleted = 0;
    std::uint64_t reopened = 0;
    std::uint64_t callsRepeated = 0; //!< Calls without a good answer, made again later.
    std::uint64_t badAnswers = 0;    //!< Answers that broke the agreed form.
    std::uint64_t weightsPublished = 0;
    std::uint64_t weightsRefused = 0;
    base::Duration idle {}; //!< All time but that of training, opening a step included.
    base::Duration total {};
};

//! A trainer: opens steps, pulls and acknowledges samples, moves to another gateway when its own is
//! lost, and publishes weights. run() and publishWeights() run on one strand.
class TrainerClient
{
public:
    TrainerClient(TrainerPlan plan, std::uint64_t seed, std::shared_ptr<AddressClient> addresses);

    //! Runs all steps of the plan, until \a deadline at most.
    auto run(base::TimePoint deadline) -> boost::asio::awaitable<void>;
    //! Publishes a new version every so often until run() has ended.
    auto publishWeights(base::TimePoint deadline) -> boost::asio::awaitable<void>;

    //! Runs after each step with the step's number, from 0.
    auto onStep(std::function<void(std::uint32_t)> handler) -> void
    {
        m_onStep = std::move(handler);
    }
    auto counts() const -> const TrainerCounts & { return m_counts; }
    auto plan() const -> const TrainerPlan & { return m_plan; }

private:
    struct Step;
    enum class PullEnd {
        Continue,
        Complete,
        Reopen, //!< The gateway is lost or no longer owns the step.
    };

    auto makeStep(std::uint32_t number) const -> Step;
    auto runStep(Step &step, base::TimePoint deadline) -> boost::asio::awaitable<bool>;
    auto open(Step &step) -> boost::asio::awaitable<bool>;
    auto pull(Step &step) -> boost::asio::awaitable<PullEnd>;
    auto close(Step &step) -> boost::asio::awaitable<void>;
    auto takeAnswer(Step &step, const std::string &body, std::uint64_t statedVersion) -> PullEnd;
    auto train(std::size_t samples) -> boost::asio::awaitable<void>;
    auto publish(std::uint64_t version) -> boost::asio::awaitable<void>;
    auto noteNewest(const std::string &body) -> void;

    TrainerPlan m_plan;
    std::uint64_t m_seed;
    std::shared_ptr<AddressClient> m_addresses;
    std::function<void(std::uint32_t)> m_onStep;
    TrainerCounts m_counts;
    base::Duration m_trained {};
    std::uint64_t m_version = 0;
    bool m_ended = false;
};

} // namespace nutmegplank::load
