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

//! How a shard is chosen.
enum class ShardPolicy {
    Aware,      //!< Load hints, two choices, prefix affinity with a load guard.
    RoundRobin, //!< One after the other.
    Static,     //!< By hash of the request id; looks at no load.
};

constexpr auto SHARD_POLICY_NAMES = base::EnumTable<ShardPolicy, 3> { {
    { ShardPolicy::Aware, "aware" },
    { ShardPolicy::RoundRobin, "round_robin" },
    { ShardPolicy::Static, "static" },
} };

//! What a choice looks at.
struct ShardQuery
{
    std::vector<std::string> shards; //!< All of the service.
    std::string requestId;
    std::string prefixKey; //!< Empty for no affinity.
    std::string avoid;     //!< A shard that just failed; taken only when there is no other.
    std::uint64_t random = 0;
};

//! Chooses shards by the load hints that ride on answers and by what this process has sent since.
//! Safe from any thread.
class ShardChooser
{
public:
    explicit ShardChooser(ShardPolicy policy);

    //! Empty when the service has no shards.
    auto choose(const ShardQuery &query, base::TimePoint now) -> std::string;

    auto learn(const wire::LoadHint &hint, base::TimePoint now) -> void;
    auto recordSent(const std::string &shard) -> void;
    auto recordEnded(const std::string &shard) -> void;

private:
    struct Load
    {
        double hinted = 0; //!< Queued and running by capacity at the hint.
        double capacity = 1;
        base::TimePoint heard {};
        std::uint32_t open = 0;       //!< Attempts of this process that have not ended.
        std::uint32_t openAtHint = 0; //!< Of these, sent before the hint.
    };

    auto chooseAware(const std::vector<std::string> &shards, const ShardQuery &query,
                     base::TimePoint now) const -> std::string;
    auto score(const std::string &shard, base::TimePoint now) const -> double;

    ShardPolicy m_policy;
    mutable std::mutex m_mutex;
    std::unordered_map<std::string, Load> m_loads;
    std::uint64_t m_next = 0;
};

} // namespace nutmegplank::request::execution
