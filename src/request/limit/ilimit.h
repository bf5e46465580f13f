#pragma once

#include <memory>

#include "base/enumtable.h"
#include "base/timepoint.h"

//! Limits on the number of concurrent requests of a backend server. Not thread-safe.
namespace nutmegplank::request::limit {

//! Settings for the backend servers of a service; limits are numbers of concurrent requests.
struct LimitOptions
{
    std::uint32_t coldLimit = 1;
    std::uint32_t warmLimit = 8;
    //! Time after a start during which a server counts as cold.
    base::Duration warmUp = std::chrono::seconds(5);

    auto operator==(const LimitOptions &) const -> bool = default;
};

enum class LimitPolicy {
    Adaptive, //!< Follows the measured latency, up to the warm limit.
    Static,   //!< Baseline for comparison: the warm limit after the warm-up.
};

constexpr auto LIMIT_POLICY_NAMES = base::EnumTable<LimitPolicy, 2> { {
    { LimitPolicy::Adaptive, "adaptive" },
    { LimitPolicy::Static, "static" },
} };

class ILimit
{
public:
    virtual ~ILimit() = default;

    //! Maximum number of concurrent requests at \a now.
    virtual auto limit(base::TimePoint now) const -> std::uint32_t = 0;
    //! Whether the server counts as cold at \a now.
    virtual auto isCold(base::TimePoint now) const -> bool = 0;
    //! Call when the server has or may have become cold: it died, restarted or is new.
    virtual auto becomeCold(base::TimePoint now) -> void = 0;
    //! Call when the server reports that it is warm and already runs \a running requests.
    virtual auto becomeWarm(std::uint32_t running, base::TimePoint now) -> void = 0;
    //! Adds a latency that was measured while the server ran \a running requests. True when the
    //! server is now treated as cold because of it.
    virtual auto onLatency(base::Duration latency, std::uint32_t running, base::TimePoint now)
        -> bool = 0;
};

//! Limit for a server whose warm-up starts at \a now.
auto makeLimit(LimitPolicy policy, LimitOptions options, base::TimePoint now)
    -> std::unique_ptr<ILimit>;

} // namespace nutmegplank::request::limit
