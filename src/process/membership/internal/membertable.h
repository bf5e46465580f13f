#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "process/membership/imembership.h"

namespace nutmegplank::process::membership {

//! Times of failure detection.
struct DetectionTimes
{
    base::Duration suspectFor; //!< From suspicion to death, unless refuted.
    base::Duration keepDead;   //!< How long a dead member still counts among the last known ones.
};

//! What is known of all members, and the rules by which news replaces it. Pure: no I/O, no clock.
class MemberTable
{
public:
    MemberTable(Member self, DetectionTimes times);

    //! Takes in news at second hand. True when it changed anything that others should hear.
    auto learn(const Member &news, base::TimePoint now) -> bool;
    //! Takes in a message of the member itself.
    auto hear(const Member &sender, base::TimePoint now) -> bool;
    //! A probe of \a id went unanswered.
    auto suspect(const std::string &id, base::TimePoint now) -> void;
    //! The system at \a gossipAddress has no process there any more, so that its member is dead.
    //! True when the view changed.
    auto confirmGone(const std::string &gossipAddress, base::TimePoint now) -> bool;
    //! Turns suspicions that nobody refuted into deaths, and drops the long dead. True when the
    //! view changed.
    auto expire(base::TimePoint now) -> bool;
    auto setProgress(OwnProgress progress) -> void;
    auto leave() -> void;

    auto self() const -> const Member & { return m_self; }
    //! Ids of members that probes should go to.
    auto probeTargets() const -> std::vector<std::string>;
    auto find(const std::string &id) const -> const Member *;
    auto view() const -> MemberViewPtr;
    //! Up to \a count pieces of news that were told least often so far.
    auto takeNews(std::size_t count) -> std::vector<Member>;
    auto all() const -> std::vector<Member>;

private:
    struct Entry
    {
        Member member;
        base::TimePoint stateSince {};
        std::uint32_t told = 0; //!< How often this news has been passed on.
    };

    auto refute(const Member &news) -> bool;
    auto retellLimit() const -> std::uint32_t;

    Member m_self;
    DetectionTimes m_times;
    std::map<std::string, Entry> m_entries;
    std::uint32_t m_selfTold = 0;
};

} // namespace nutmegplank::process::membership
