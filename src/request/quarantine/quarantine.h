#pragma once

#include <functional>
#include <mutex>
#include <string>
#include <unordered_map>

#include "base/enumtable.h"
#include "base/timepoint.h"
#include "connection/link/link.pb.h"

//! Requests under which backend servers died: first run alone, then refused for a while.
namespace nutmegplank::request::quarantine {

//! How a request may run.
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

//! Times of the quarantine.
struct QuarantineTimes
{
    base::Duration hold = std::chrono::minutes(5); //!< From the last death on.
};

//! Names a request by what a resent one has in common with it.
auto fingerprintOf(const std::string &workspace, const std::string &body) -> std::string;

//! Counts deaths by fingerprint; safe from any thread. A request that died beside others may be
//! innocent: however often that happens it counts as one death, and only deaths while it ran alone
//! bring it to two.
class Quarantine
{
public:
    using Announce = std::function<void(const wire::Quarantine &)>;

    //! \a announce tells the other gateways.
    explicit Quarantine(QuarantineTimes times, Announce announce = {});

    auto handling(const std::string &fingerprint, base::TimePoint now) -> Handling;

    //! A backend server died under the request; \a diedBeside others ran on it.
    auto recordDeath(const std::string &fingerprint, std::uint32_t diedBeside, base::TimePoint now)
        -> void;

    //! The request ended well while it ran alone, so that it did not cause the deaths.
    auto recordSuccess(const std::string &fingerprint) -> void;

    //! Word from another gateway; no deaths means that the request was cleared.
    auto learn(const wire::Quarantine &message, base::TimePoint now) -> void;

    auto size() const -> std::size_t;

private:
    struct Entry
    {
        std::uint32_t deathsAlone = 0;
        bool diedBesideOthers = false;
        std::uint32_t deathsElsewhere = 0; //!< As another gateway counts them.
        base::TimePoint heldUntil {};

        auto deaths() const -> std::uint32_t;
    };

    auto dropExpired(base::TimePoint now) -> void;

    QuarantineTimes m_times;
    Announce m_announce;
    mutable std::mutex m_mutex;
    std::unordered_map<std::string, Entry> m_entries;
};

} // namespace nutmegplank::request::quarantine
