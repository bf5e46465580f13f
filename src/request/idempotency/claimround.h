#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "connection/link/link.pb.h"
#include "request/idempotency/replicaselection.h"

namespace nutmegplank::request::idempotency {

//! Result of claiming an idempotency key for a request.
enum class ClaimResult {
    Run,         //!< The key was claimed for this request; dispatch it.
    Replay,      //!< The request was answered before; return the recorded answer.
    InProgress,  //!< Another request with the key is running.
    KeyReused,   //!< The key was used for a request with another fingerprint.
    Unknown,     //!< A request with the key may have run, or this cannot be ruled out.
    Unavailable, //!< Too few replicas stored the claim.
};

constexpr auto CLAIM_RESULT_NAMES = base::EnumTable<ClaimResult, 6> { {
    { ClaimResult::Run, "run" },
    { ClaimResult::Replay, "replay" },
    { ClaimResult::InProgress, "in_progress" },
    { ClaimResult::KeyReused, "key_reused" },
    { ClaimResult::Unknown, "unknown" },
    { ClaimResult::Unavailable, "unavailable" },
} };

//! Claim of one idempotency key at its replicas: first at the primary, which decides between
//! concurrent claims, then at the others. Does no I/O: the caller sends the claim to the replicas
//! that replicasToContact() returns and passes their answers to onAnswer().
class ClaimRound
{
public:
    ClaimRound(std::vector<ReplicaCandidate> replicas, std::string fingerprint);

    //! Ids of the replicas to which the claim has to be sent now. Each is returned once.
    auto replicasToContact() -> std::vector<std::string>;
    auto onAnswer(const std::string &replica, const wire::IdempotencyAnswer &answer) -> void;

    //! Empty until the answers received determine the result.
    auto result() const -> std::optional<ClaimResult> { return m_result; }
    //! The result from the answers received so far, when no more are awaited.
    auto conclude() -> ClaimResult;

    //! Replicas to which the claim was sent: they have stored it, or may still do so.
    auto contactedReplicas() const -> const std::vector<std::string> & { return m_contacted; }
    //! The existing record of the key, after Replay.
    auto existingRecord() const -> const wire::IdempotencyRecord & { return m_existing; }

private:
    auto resultForExisting() const -> ClaimResult;
    auto hasEnoughCopies() const -> bool;

    std::vector<ReplicaCandidate> m_replicas;
    std::string m_fingerprint;
    std::vector<std::string> m_contacted;
    std::map<std::string, wire::IdempotencyAnswer> m_answers;
    wire::IdempotencyRecord m_existing;
    std::optional<ClaimResult> m_result;
};

} // namespace nutmegplank::request::idempotency
