#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/enumtable.h"
#include "base/timepoint.h"

//! Which processes of the product are alive, as far as this one knows: soft state, no agreement.
namespace nutmegplank::process::membership {

enum class Role {
    Gateway,
    Dispatcher,
    Controller,
};

constexpr auto ROLE_NAMES = base::EnumTable<Role, 3> { {
    { Role::Gateway, "gateway" },
    { Role::Dispatcher, "dispatcher" },
    { Role::Controller, "controller" },
} };

enum class MemberState {
    Alive,
    Suspect,
    Leaving, //!< Shuts down gracefully: gets no new work.
    Dead,
};

constexpr auto MEMBER_STATE_NAMES = base::EnumTable<MemberState, 4> { {
    { MemberState::Alive, "alive" },
    { MemberState::Suspect, "suspect" },
    { MemberState::Leaving, "leaving" },
    { MemberState::Dead, "dead" },
} };

//! One process.
struct Member
{
    std::string id;
    std::uint64_t incarnation = 0; //!< Grows with each start and each refutation.
    Role role = Role::Gateway;
    std::string vm;
    std::string zone;
    std::string gossipAddress; //!< "address:port", UDP.
    std::string linkAddress;   //!< "address:port", messages.
    std::string httpAddress;   //!< "address:port", callers or operators.
    MemberState state = MemberState::Alive;
    std::uint64_t configurationVersion = 0; //!< Newest that it has put in force, as last heard.
    std::uint64_t logOffset = 0;            //!< Next log offset that it will read, as last heard.
    base::TimePoint lastHeard {};           //!< When this process last had word of it from itself.
};

//! One view of all members; immutable.
struct MemberView
{
    std::vector<Member> members; //!< Sorted by id; dead ones are kept for a while.

    auto find(const std::string &id) const -> const Member *;
    //! Ids of members of \a role that are alive or suspect.
    auto liveIds(Role role) const -> std::vector<std::string>;
};

using MemberViewPtr = std::shared_ptr<const MemberView>;

//! What this process tells the others about itself.
struct OwnProgress
{
    std::uint64_t configurationVersion = 0;
    std::uint64_t logOffset = 0;
};

//! Bytes of membership datagrams since the start, headers of UDP and IP left out.
struct GossipTraffic
{
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedBytes = 0;
};

//! Failure detection and the list of members.
class IMembership
{
public:
    virtual ~IMembership() = default;

    //! The newest view; cheap, for the path of a request.
    virtual auto view() const -> MemberViewPtr = 0;
    virtual auto self() const -> Member = 0;
    virtual auto setProgress(OwnProgress progress) -> void = 0;
    //! Tells the others that this process leaves; it still answers.
    virtual auto leave() -> void = 0;
    //! Whether a majority of the last known members has been heard within \a bound before \a now. A
    //! process that hears fewer may be the one that is cut off.
    virtual auto hearsMajority(base::TimePoint now, base::Duration bound) const -> bool = 0;
    //! Whether configuration \a version is confirmed without the log: a majority was heard within
    //! \a bound and none of those heard has a newer one.
    virtual auto confirmsConfiguration(std::uint64_t version, base::TimePoint now,
                                       base::Duration bound) const -> bool = 0;
    virtual auto traffic() const -> GossipTraffic { return {}; }
    //! Runs after each change of the view.
    virtual auto onChange(std::function<void(MemberViewPtr)> handler) -> void = 0;
};

} // namespace nutmegplank::process::membership
