#pragma once

#include <map>
#include <optional>
#include <string>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include "base/enumtable.h"
#include "base/timepoint.h"

namespace nutmegplank::version::waves {

//! How an engine treats its running requests when new weights are loaded.
enum class LoadStrategy {
    Finish, //!< Running requests complete on the old weights before the load.
    Retain, //!< Running requests continue on the new weights.
};

constexpr auto LOAD_STRATEGY_NAMES = base::EnumTable<LoadStrategy, 2> { {
    { LoadStrategy::Finish, "finish" },
    { LoadStrategy::Retain, "retain" },
} };

//! A request to an engine to load a version of a model's weights.
struct WeightOrder
{
    std::string engine;
    std::string endpoint;
    std::string model;
    std::uint64_t version = 0;
    LoadStrategy strategy = LoadStrategy::Retain;
    std::uint64_t fence = 0;
    std::optional<std::uint64_t> expectedSequence; //!< Number of orders accepted so far.
};

enum class OrderOutcome {
    Accepted,
    AlreadyLoaded,
    Conflict, //!< Another order is in progress, or the sequence number does not match.
    Fenced,   //!< The engine has already seen a higher fencing number.
    WrongServer,
    Rejected,
    NotSent,
    NoAnswer, //!< The order may have been accepted, or may still be executed later.
};

constexpr auto ORDER_OUTCOME_NAMES = base::EnumTable<OrderOutcome, 8> { {
    { OrderOutcome::Accepted, "accepted" },
    { OrderOutcome::AlreadyLoaded, "already_holds" },
    { OrderOutcome::Conflict, "conflict" },
    { OrderOutcome::Fenced, "fenced" },
    { OrderOutcome::WrongServer, "wrong_server" },
    { OrderOutcome::Rejected, "rejected" },
    { OrderOutcome::NotSent, "not_sent" },
    { OrderOutcome::NoAnswer, "no_answer" },
} };

//! Status reported by an engine.
struct EngineReport
{
    std::map<std::string, std::uint64_t> versions; //!< Loaded weight versions by model.
    bool busy = false;                             //!< An order is in progress.
    std::uint64_t sequence = 0;                    //!< Number of accepted orders.
};

class IEngineControl
{
public:
    virtual ~IEngineControl() = default;

    virtual auto order(WeightOrder order) -> boost::asio::awaitable<OrderOutcome> = 0;
    virtual auto report(std::string engine, std::string endpoint)
        -> boost::asio::awaitable<absl::StatusOr<EngineReport>> = 0;
};

} // namespace nutmegplank::version::waves
