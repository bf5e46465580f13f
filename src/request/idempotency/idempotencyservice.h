#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include <boost/asio/awaitable.hpp>

#include "connection/link/ilink.h"
#include "process/membership/imembership.h"
#include "request/execution/irequestrunner.h"
#include "request/idempotency/claimround.h"
#include "request/idempotency/recordstore.h"

//! Idempotency keys: a request with a key runs at most once, whichever gateways receive its
//! repeats.
//!
//! The record of a key is replicated on up to three gateways. A request is dispatched only if two
//! of them, in different availability zones, have stored its claim, none has an earlier record, and
//! enough of them confirm that there was none (see AbsenceVerifier). A write quorum of two out of
//! three replicas and an absence quorum of two out of three always have a replica in common.
namespace nutmegplank::request::idempotency {

//! Outcome of a claim.
struct Claim
{
    ClaimResult result = ClaimResult::Unavailable;
    wire::IdempotencyRecord record;    //!< Of this claim; after Replay the existing record.
    std::vector<std::string> replicas; //!< To be updated when the request ends.
};

struct IdempotencySettings
{
    StoreLimits limits;
    base::Duration replicaTimeout =
        std::chrono::milliseconds(500); //!< For the answer of a replica.
    //! Claims are refused if no majority of members was heard for this long.
    base::Duration majorityTimeout = std::chrono::seconds(4);
};

//! Claims idempotency keys and holds the records of which this gateway is a replica. Thread-safe.
class IdempotencyService
{
public:
    //! References must outlive the service.
    IdempotencyService(connection::link::ILink &link, process::membership::IMembership &membership,
                       IdempotencySettings settings);
    ~IdempotencyService();

    //! Claims \a key for the request that \a fingerprint identifies. Takes at most twice the
    //! replicaTimeout.
    auto claim(std::string workspace, std::string key, std::string fingerprint)
        -> boost::asio::awaitable<Claim>;
    //! Records the end of a request whose claim resulted in Run.
    auto finish(const Claim &claim, const execution::RequestOutcome &outcome) -> void;

    //! Handles IdempotencyRequest and IdempotencyAnswer; other messages are ignored.
    auto onMessage(const wire::Envelope &message) -> void;
    //! To be called when the log was read and declared no service yet, so that no request can have
    //! run.
    auto markStartedWithoutServices() -> void;
    auto onMembers(const process::membership::MemberView &view) -> void;

private:
    struct PendingClaim;

    auto sendClaim(const std::string &replica, const std::shared_ptr<PendingClaim> &pendingClaim,
                   const wire::IdempotencyRecord &record) -> void;
    auto collectAnswers(const std::shared_ptr<PendingClaim> &pendingClaim, ClaimRound &round,
                        const wire::IdempotencyRecord &record) -> boost::asio::awaitable<void>;
    auto sendUpdate(const std::vector<std::string> &replicas, const wire::IdempotencyRecord &record)
        -> void;
    auto applyRequest(const wire::IdempotencyRequest &request) -> wire::IdempotencyAnswer;
    auto queueAnswer(const std::string &replica, const wire::IdempotencyAnswer &answer) -> void;
    //! \a owner is "<member id>/<random id of the claim>".
    auto isOwnerAlive(const std::string &owner) const -> bool;

    connection::link::ILink &m_link;
    process::membership::IMembership &m_membership;
    std::string m_self;
    IdempotencySettings m_settings;
    std::mutex m_mutex;
    RecordStore m_store;
    AbsenceVerifier m_absenceVerifier;
    std::unordered_map<std::string, std::shared_ptr<PendingClaim>> m_pendingClaims;
};

} // namespace nutmegplank::request::idempotency
