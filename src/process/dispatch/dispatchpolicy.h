#pragma once

#include "base/jsonreader.h"
#include "request/limit/ilimit.h"
#include "request/placement/iplacement.h"
#include "request/queue/earlyrefusal.h"
#include "request/queue/iqueue.h"

//! The backend servers' side of the product: shards, their queues and what runs.
namespace nutmegplank::process::dispatch {

//! How a dispatcher decides; each choice has a plain baseline.
struct DispatchPolicy
{
    request::queue::QueuePolicy queue = request::queue::QueuePolicy::Fair;
    request::limit::LimitPolicy limit = request::limit::LimitPolicy::Adaptive;
    request::placement::PlacementPolicy placement = request::placement::PlacementPolicy::Aware;
    request::queue::EarlyRefusalOptions earlyRefusal;
    std::size_t queueBound = 4096; //!< Requests a shard.
    base::Duration probePeriod = std::chrono::milliseconds(500);
    base::Duration probeTimeout = std::chrono::seconds(1);
    base::Duration progressTime = std::chrono::seconds(5);
    //! Connections to backend servers whose bytes stay unacknowledged for longer are ended.
    base::Duration userTimeout = std::chrono::seconds(5);
    //! What the answers of all servers hold together while they are read; the largest answer fits.
    std::uint64_t answerBytes = 32 * 1024 * 1024;
};

//! Reads the object "policy"; problems stay in \a reader.
auto readDispatchPolicy(base::ObjectReader &reader) -> DispatchPolicy;

} // namespace nutmegplank::process::dispatch
