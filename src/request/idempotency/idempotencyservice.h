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

//! Idempotency keys: a request with a key runs at most once, whichever gateways its repeats reach.
//!
//! The records of a key stand at up to three home gateways. A request is dispatched only when two
//! of them, in different zones, have taken its claim, none knows an earlier one, and enough of them
//! vouch that there was none (see Standing). Two of three copies and two of three vouchers always
//! share a home.
namespace nutmegplank::request::idempotency {

//! A claim and what came of it.
struct Claim
{
    ClaimResult result = ClaimResult::Unavailable;
    wire::IdempotencyRecord record; //!< Own one; after Replay the earlier one.
    std::vector<std::string> homes; //!< To be told of the end.
};

struct ServiceSettings
{
    StoreLimits limits;
    base::Duration answerTime = std::chrono::milliseconds(500); //!< Of one home.
    base::Duration majorityBound = std::chrono::seconds(4);     //!< Age of word of a majority.
};

//! Claims keys and keeps records. Safe from any thread.
class IdempotencyService
{
public:
    //! References must outlive the service.
    IdempotencyService(connection::link::ILink &link, process::membership::IMembership &membership,
                       ServiceSettings settings);
    ~IdempotencyService();

    auto claim(std::string workspace, std::string key, std::string fingerprint)
        -> boost::asio::awaitable<Claim>;
    //! Records the end of a request whose claim resulted in Run.
    auto finish(const Claim &claim, const execution::RequestOutcome &outcome) -> void;

    //! Takes IdempotencyRequest and IdempotencyAnswer; others are ignored.
    auto onMessage(const wire::Envelope &message) -> void;
    //! The log was read and declared no service yet, so that no request can have run.
    auto markBornEmpty() -> void;
    auto onMembers(const process::membership::MemberView &view) -> void;

private:
    struct Call;

    auto ask(const std::string &home, const std::shared_ptr<Call> &call,
             const wire::IdempotencyRecord &record) -> void;
    auto collect(const std::shared_ptr<Call> &call, ClaimRound &round,
                 const wire::IdempotencyRecord &record) -> boost::asio::awaitable<void>;
    auto update(const std::vector<std::string> &homes, const wire::IdempotencyRecord &record)
        -> void;
    auto serve(const wire::IdempotencyRequest &request) -> wire::IdempotencyAnswer;
    auto takeAnswer(const std::string &home, const wire::IdempotencyAnswer &answer) -> void;
    auto isOwnerAlive(const std::string &owner) const -> bool;

    connection::link::ILink &m_link;
    process::membership::IMembership &m_membership;
    std::string m_self;
    ServiceSettings m_settings;
    std::mutex m_mutex;
    RecordStore m_store;
    Standing m_standing;
    std::unordered_map<std::string, std::shared_ptr<Call>> m_calls;
};

} // namespace nutmegplank::request::idempotency
