#pragma once

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "request/rollout/placement.h"

namespace nutmegplank::request::rollout {

//! Finds the engine at which an item would end first, without a look at all engines for each item.
//! Engines only get fuller while items are placed, so that an entry that was overtaken is put back
//! when it is met.
class EngineIndex
{
public:
    //! \a engines must outlive the index.
    explicit EngineIndex(std::vector<EngineLoad> &engines);

    //! The best engine that may run \a item now, or the number of engines if there is none. The one
    //! that the item avoids, and those with older weights, come last.
    auto findBest(const WaitingItem &item) -> std::size_t;
    //! Adds the item's run to the load of the engine with \a index.
    auto reserveAt(const WaitingItem &item, std::size_t index) -> void;
    //! Engines looked at so far.
    auto visits() const -> std::size_t { return m_visits; }

private:
    using Entry = std::pair<base::Duration, std::size_t>; //!< Time per event and index.
    using Class = std::tuple<const version::routing::Route *, std::string, std::uint64_t>;

    auto heapFor(const WaitingItem &item) -> std::vector<Entry> &;
    auto costOf(const WaitingItem &item, std::size_t index) const -> base::Duration;

    std::vector<EngineLoad> &m_engines;
    std::map<std::string, std::uint64_t> m_newest; //!< Weight version by model.
    std::map<Class, std::vector<Entry>> m_heaps;   //!< Engines by what items may run there.
    std::size_t m_visits = 0;
};

} // namespace nutmegplank::request::rollout
