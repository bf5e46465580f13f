#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "base/enumtable.h"
#include "base/timepoint.h"

//! Which shards of backend servers this dispatcher serves.
namespace nutmegplank::process::shards {

enum class ShardState {
    NotOwner,
    Handover, //!< Owned, but the previous owner may not have noticed yet: nothing is started.
    Serving,
    Fenced, //!< Owned, but this process may be the one that is cut off: nothing is started.
};

constexpr auto SHARD_STATE_NAMES = base::EnumTable<ShardState, 4> { {
    { ShardState::NotOwner, "not_owner" },
    { ShardState::Handover, "handover" },
    { ShardState::Serving, "serving" },
    { ShardState::Fenced, "fenced" },
} };

//! One shard whose state has changed.
struct ShardChange
{
    std::string shard;
    ShardState before = ShardState::NotOwner;
    ShardState after = ShardState::NotOwner;
};

//! What ownership depends on.
struct OwnershipInput
{
    std::span<const std::string> owned; //!< Shards that hash to this dispatcher.
    bool mayServe = false;              //!< A majority is heard and the configuration is confirmed.
};

//! Those of \a shards that \a self owns while \a liveDispatchers live: the owner of a shard is its
//! rendezvous hash over live dispatchers, soft state that needs no agreement. The idea is FR-013 of
//! the feature specification for distributed polling in the papers given to the project.
auto ownedShards(const std::string &self, std::span<const std::string> shards,
                 std::span<const std::string> liveDispatchers) -> std::vector<std::string>;

//! Follows the shards that this dispatcher owns. Two views of who lives may differ for a moment, so
//! a new owner starts nothing for a delay in which the old one learns that it has lost the shard or
//! fences itself. Not safe for several threads.
class ShardOwnership
{
public:
    explicit ShardOwnership(base::Duration handoverDelay)
        : m_handoverDelay(handoverDelay)
    { }

    //! Follows \a input and gives what has changed.
    auto update(const OwnershipInput &input, base::TimePoint now) -> std::vector<ShardChange>;
    auto state(const std::string &shard) const -> ShardState;
    //! Shards that are owned, whatever their state.
    auto owned() const -> std::vector<std::string>;

private:
    struct Entry
    {
        ShardState state = ShardState::NotOwner;
        base::TimePoint serveFrom {};
    };

    auto next(const Entry &entry, bool mayServe, base::TimePoint now) const -> Entry;

    base::Duration m_handoverDelay;
    std::map<std::string, Entry> m_entries;
};

} // namespace nutmegplank::process::shards
