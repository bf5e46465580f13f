#pragma once

#include <map>
#include <optional>
#include <string>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include "base/enumtable.h"
#include "base/timepoint.h"

namespace nutmegplank::version::waves {

//! What becomes of an engine's running requests when its weights change.
enum class LoadStrategy {
    Finish, //!< They finish first, under the old weights.
    Retain, //!< They go on under the new weights.
};

constexpr auto LOAD_STRATEGY_NAMES = base::EnumTable<LoadStrategy, 2> { {
    { LoadStrategy::Finish, "finish" },
    { LoadStrategy::Retain, "retain" },
} };

//! An order to load weights.
struct WeightOrder
{
    std::string engine;
    std::string endpoint;
    std::string model;
    std::uint64_t version = 0;
    LoadStrategy strategy = LoadStrategy::Retain;
    std::uint64_t fence = 0;
    std::optional<std::uint64_t> expectedSequence; //!< Orders that the engine has accepted so far.
};

enum class OrderOutcome {
    Accepted,
    AlreadyHolds,
    Conflict, //!< Another order is under way, or the sequence number is another one.
    Fenced,   //!< The engine has seen a higher fencing number.
    WrongServer,
    Rejected,
    NotSent,
    NoAnswer, //!< It may have been accepted, or may be carried out later.
};

constexpr auto ORDER_OUTCOME_NAMES = base::EnumTable<OrderOutcome, 8> { {
    { OrderOutcome::Accepted, "accepted" },
    { OrderOutcome::AlreadyHolds, "already_holds" },
    { OrderOutcome::Conflict, "conflict" },
    { OrderOutcome::Fenced, "fenced" },
    { OrderOutcome::WrongServer, "wrong_server" },
    { OrderOutcome::Rejected, "rejected" },
    { OrderOutcome::NotSent, "not_sent" },
    { OrderOutcome::NoAnswer, "no_answer" },
} };

//! What an engine says of itself when asked.
struct EngineReport
{
    std::map<std::string, std::uint64_t> versions; //!< Of weights, by model.
    bool busy = false;                             //!< An order is under way.
    std::uint64_t sequence = 0;                    //!< Orders that it has accepted.
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
