#pragma once

#include <functional>
#include <mutex>
#include <string>
#include <unordered_map>

#include "base/enumtable.h"
#include "base/timepoint.h"
#include "connection/link/link.pb.h"

//! Requests that were running when backend servers died. They are first run alone on a server, then
//! refused for a limited time.
namespace nutmegplank::request::quarantine {

//! How a request must be handled.
enum class Handling {
    Normal,
    Isolate, //!< Alone on its backend server.
    Refuse,
};

constexpr auto HANDLING_NAMES = base::EnumTable<Handling, 3> { {
    { Handling::Normal, "normal" },
    { Handling::Isolate, "isolate" },
    { Handling::Refuse, "refuse" },
} };

//! Settings of the quarantine.
struct QuarantineOptions
{
    base::Duration duration = std::chrono::minutes(5); //!< Counted from the last death.
};

//! SHA-256 digest in hexadecimal; equal for a request and its repetition.
auto fingerprintOf(const std::string &workspace, const std::string &body) -> std::string;

//! Counts server deaths by the fingerprint of the running requests. Thread-safe. When several
//! requests ran on the server, the cause is unknown: such deaths together count as one, and only
//! deaths while the request ran alone raise the count to the two that lead to its refusal.
class Quarantine
{
public:
    using Announce = std::function<void(const wire::Quarantine &)>;

    //! \a announce sends a message to the other gateways.
    explicit Quarantine(QuarantineOptions options, Announce announce = {});

    auto handling(const std::string &fingerprint, base::TimePoint now) -> Handling;

    //! Call when a backend server died while it ran the request and \a concurrentRequests others.
    auto recordDeath(const std::string &fingerprint, std::uint32_t concurrentRequests,
                     base::TimePoint now) -> void;

    //! Clears a request that succeeded while it ran alone, as it did not cause the deaths.
    auto recordSuccess(const std::string &fingerprint) -> void;

    //! Applies a message from another gateway; 0 deaths mean that the request was cleared.
    auto applyRemote(const wire::Quarantine &message, base::TimePoint now) -> void;

    auto size() const -> std::size_t;

private:
    struct Entry
    {
        std::uint32_t isolatedDeaths = 0;
        bool diedWithConcurrentRequests = false;
        //! Highest count reported by another gateway, plus isolated deaths here since then.
        std::uint32_t reportedDeaths = 0;
        base::TimePoint expiresAt {};

        auto deaths() const -> std::uint32_t;
    };

    auto dropExpired(base::TimePoint now) -> void;

    QuarantineOptions m_options;
    Announce m_announce;
    mutable std::mutex m_mutex;
    std::unordered_map<std::string, Entry> m_entries;
};

} // namespace nutmegplank::request::quarantine
