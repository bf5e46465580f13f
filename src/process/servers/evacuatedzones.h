#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace nutmegplank::process::servers {

//! Availability zones whose servers get no new work, from the operator's records in the log. A
//! record or snapshot that is older than what is known of a zone changes nothing, since reads of
//! the log can overtake each other. Not thread-safe.
class EvacuatedZones
{
public:
    //! The record of \a zone at \a offset begins or ends an evacuation. Returns whether the zone's
    //! state changed.
    auto apply(const std::string &zone, bool evacuated, std::uint64_t offset) -> bool;
    //! \a recorded are the zones that have a record in a snapshot, which holds all records before
    //! offset \a end. Evacuations without a record have ended; returns their zones.
    auto retain(const std::set<std::string> &recorded, std::uint64_t end) -> std::set<std::string>;
    auto zones() const -> std::set<std::string>;

private:
    struct State
    {
        bool evacuated = false;
        std::uint64_t knownUntil = 0; //!< Offset after the last record that it takes into account.
    };

    std::map<std::string, State> m_states; //!< By zone.
};

} // namespace nutmegplank::process::servers
