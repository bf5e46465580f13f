#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/timepoint.h"
#include "version/records/records.pb.h"

//! The machines of the system, by their heartbeats in the log.
namespace nutmegplank::process::members {

struct MemberTimes
{
    base::Duration heartbeatEvery = std::chrono::milliseconds(900);
    //! Three heartbeats and the time to read one.
    base::Duration lostAfter = std::chrono::milliseconds(3300);
    //! After the log's return living members are heard again within this.
    base::Duration returnGrace = std::chrono::milliseconds(2400);
};

struct Member
{
    std::string node;
    std::string incarnation;
    std::string address; //!< For callers.
    std::string zone;
    bool serving = false;
    base::TimePoint heardAt {};
};

//! Not safe for several threads.
class MemberList
{
public:
    explicit MemberList(MemberTimes times = {})
        : m_times(times)
    { }

    //! A heartbeat. \a age: how old it is, for those that were read from a snapshot.
    auto hear(const record::MemberRecord &record, base::Duration age, base::TimePoint now) -> void;
    //! Members that are thought to live and serve. While the log is away nobody can be heard and
    //! nobody is dropped. \a logAnsweredAt, \a logRegainedAt: as the heartbeats' reader knows.
    auto serving(base::TimePoint logAnsweredAt, base::TimePoint logRegainedAt,
                 base::TimePoint now) const -> std::vector<Member>;

private:
    MemberTimes m_times;
    std::map<std::string, Member> m_members; //!< By node.
};

} // namespace nutmegplank::process::members
