#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/timepoint.h"

namespace nutmegplank::request::forward {

//! Number of backend server crashes while a request with this fingerprint was running.
struct RequestCrashCount
{
    std::string fingerprint;
    std::uint32_t crashes = 0;
};

//! Tracks requests that may crash every backend server that runs them, so that they are refused.
//! The counts of each machine are sent to the others with its heartbeats. Not thread-safe.
class PoisonRequestDetector
{
public:
    //! First 128 bits of a SHA-256 digest, in hexadecimal; equal for a request and its repetition.
    static auto fingerprintOf(std::string_view workspace, std::string_view path,
                              std::string_view body) -> std::string;

    //! Whether the crashes counted on all machines are enough to refuse the request.
    auto isPoison(const std::string &fingerprint, base::TimePoint now) const -> bool;
    auto recordCrash(const std::string &fingerprint, base::TimePoint now) -> void;
    //! Forgets a request that was answered, as it did not cause the crashes.
    auto clear(const std::string &fingerprint) -> void;
    //! Replaces the crash count of another machine by the one in its heartbeat.
    auto setRemoteCrashes(const std::string &machine, const RequestCrashCount &crashCount,
                          base::TimePoint now) -> void;
    //! Crash counts of this machine.
    auto localCounts() const -> std::vector<RequestCrashCount>;
    auto expire(base::TimePoint now) -> void;

private:
    struct Entry
    {
        std::uint32_t localCrashes = 0;
        std::unordered_map<std::string, std::uint32_t> remoteCrashes; //!< By machine.
        base::TimePoint expiresAt {};
    };

    std::unordered_map<std::string, Entry> m_entries;
};

} // namespace nutmegplank::request::forward
