#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/enumtable.h"
#include "base/timepoint.h"
#include "connection/link/link.pb.h"

namespace nutmegplank::request::execution {

//! Strategy to choose a shard.
enum class ShardPolicy {
    LoadAware,  //!< The less loaded of two random shards; prefix affinity up to a load limit.
    RoundRobin, //!< In turn.
    Static,     //!< By hash of the request id, regardless of load.
};

constexpr auto SHARD_POLICY_NAMES = base::EnumTable<ShardPolicy, 3> { {
    { ShardPolicy::LoadAware, "aware" },
    { ShardPolicy::RoundRobin, "round_robin" },
    { ShardPolicy::Static, "static" },
} };

//! Input of a shard choice.
struct ShardQuery
{
    std::vector<std::string> shards; //!< All shards of the service.
    std::string requestId;
    std::string prefixKey; //!< Empty: no affinity.
    std::string avoid;     //!< Failed it or already runs it; chosen only if it is the only shard.
    std::uint64_t random = 0; //!< Random bits that pick the two candidates.
};

//! Chooses shards by the load hints in dispatchers' messages and by the attempts that this process
//! has sent since. Thread-safe.
class ShardChooser
{
public:
    explicit ShardChooser(ShardPolicy policy);

    //! Returns an empty string if the service has no shards.
    auto choose(const ShardQuery &query, base::TimePoint now) -> std::string;

    auto recordLoadHint(const wire::LoadHint &hint, base::TimePoint now) -> void;
    auto recordSent(const std::string &shard) -> void;
    auto recordEnded(const std::string &shard) -> void;

private:
    struct Load
    {
        double hintedLoad = 0; //!< (queued + running) / capacity, from the last hint.
        double capacity = 1;
        base::TimePoint hintReceivedAt {};
        std::uint32_t openAttempts = 0;       //!< Attempts of this process that have not ended.
        std::uint32_t openAttemptsAtHint = 0; //!< Of these, sent before the last hint.
    };

    auto chooseLoadAware(const std::vector<std::string> &shards, const ShardQuery &query,
                         base::TimePoint now) const -> std::string;
    //! Estimated load of a shard relative to its capacity; 0 if nothing is known.
    auto estimateLoad(const std::string &shard, base::TimePoint now) const -> double;

    ShardPolicy m_policy;
    mutable std::mutex m_mutex;
    std::unordered_map<std::string, Load> m_loads;
    std::uint64_t m_nextIndex = 0;
};

} // namespace nutmegplank::request::execution
