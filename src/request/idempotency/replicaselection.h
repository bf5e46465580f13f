#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/timepoint.h"
#include "process/membership/imembership.h"

namespace nutmegplank::request::idempotency {

//! A gateway that may hold copies of records.
struct ReplicaCandidate
{
    std::string id;
    std::string zone;
};

//! Per idempotency key.
constexpr auto MAX_REPLICAS = std::size_t(3);

//! The gateways that hold the record called \a name, primary first. They are the highest in
//! rendezvous hashing and lie in at least two availability zones if the candidates do. When a
//! candidate leaves, the others only move up: a replica among many candidates is also one among any
//! subset of them that it belongs to.
auto replicasOf(const std::string &name, const std::vector<ReplicaCandidate> &candidates)
    -> std::vector<ReplicaCandidate>;

//! Number of copies that must be stored before a request is dispatched.
auto writeQuorum(std::size_t replicas) -> std::size_t;

//! Number of replicas that must confirm that no record exists. At least one of them would hold a
//! copy of an earlier record, even if the key had more replicas then.
auto absenceQuorum(std::size_t replicas) -> std::size_t;

//! Decides whether this gateway can confirm that a record does not exist. It can if it was a
//! replica of the key throughout the retention time: the process has run that long, and would be a
//! replica even if all gateways that left during that time were still present. A younger process
//! can if it read the log while no service was declared, because no request can have run before.
//! Therefore the first start of a deployment refuses no request, while a simultaneous restart of
//! all gateways, which loses all records, refuses requests with a key until the retention time has
//! passed.
class AbsenceVerifier
{
public:
    AbsenceVerifier(ReplicaCandidate self, base::TimePoint startedAt, base::Duration retention);

    //! To be called when the log was read and declared no service yet.
    auto markStartedWithoutServices() -> void { m_startedWithoutServices = true; }

    //! Updates the known gateways; to be called for each new view.
    auto observe(const process::membership::MemberView &view, base::TimePoint now) -> void;

    //! Whether this gateway can confirm at \a now that no record called \a name exists.
    auto canConfirmAbsenceOf(const std::string &name, base::TimePoint now) const -> bool;

private:
    struct KnownGateway
    {
        std::string zone;
        base::TimePoint lastAliveAt {};
    };

    ReplicaCandidate m_self;
    base::TimePoint m_startedAt;
    base::Duration m_retention;
    bool m_startedWithoutServices = false;
    std::size_t m_liveOtherGateways = 0;
    //! Other gateways that were alive within the retention time, by id.
    std::map<std::string, KnownGateway> m_knownGateways;
};

} // namespace nutmegplank::request::idempotency
