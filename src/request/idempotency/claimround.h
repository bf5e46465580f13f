#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "connection/link/link.pb.h"
#include "request/idempotency/homerule.h"

namespace nutmegplank::request::idempotency {

//! What a caller's key allows.
enum class ClaimResult {
    Run,         //!< The key is this request's; dispatch it.
    Replay,      //!< The request was answered before.
    InProgress,  //!< Another request with the key runs.
    KeyReused,   //!< The key was used for another body.
    Unknown,     //!< A request with the key may have run, or nobody can know.
    Unavailable, //!< Too few homes answered.
};

constexpr auto CLAIM_RESULT_NAMES = base::EnumTable<ClaimResult, 6> { {
    { ClaimResult::Run, "run" },
    { ClaimResult::Replay, "replay" },
    { ClaimResult::InProgress, "in_progress" },
    { ClaimResult::KeyReused, "key_reused" },
    { ClaimResult::Unknown, "unknown" },
    { ClaimResult::Unavailable, "unavailable" },
} };

//! One claim of an idempotency key at its homes: first at the primary, which settles races, then at
//! the others. Does no I/O: whoever drives it sends to toAsk() and hands the answers in.
class ClaimRound
{
public:
    ClaimRound(std::vector<HomeCandidate> homes, std::string fingerprint);

    //! Homes to be asked now; each is named once.
    auto toAsk() -> std::vector<std::string>;
    auto onAnswer(const std::string &home, const wire::IdempotencyAnswer &answer) -> void;

    //! The result as soon as it is certain.
    auto result() const -> std::optional<ClaimResult> { return m_result; }
    //! The result when no more answers come.
    auto settle() -> ClaimResult;

    //! Homes that hold this claim, or may once they read it.
    auto asked() const -> const std::vector<std::string> & { return m_asked; }
    //! The earlier record, after Replay.
    auto earlier() const -> const wire::IdempotencyRecord & { return m_earlier; }

private:
    auto resultForEarlier() const -> ClaimResult;
    auto hasEnoughCopies() const -> bool;

    std::vector<HomeCandidate> m_homes;
    std::string m_fingerprint;
    std::vector<std::string> m_asked;
    std::map<std::string, wire::IdempotencyAnswer> m_answers;
    wire::IdempotencyRecord m_earlier;
    std::optional<ClaimResult> m_result;
};

} // namespace nutmegplank::request::idempotency
