#pragma once

#include <memory>

#include "base/enumtable.h"
#include "base/timepoint.h"

//! How many requests one backend server gets at a time. Not safe for several threads.
namespace nutmegplank::request::limit {

//! What operators say about the backend servers of a service.
struct LimitOptions
{
    std::uint32_t coldLimit = 1;
    std::uint32_t warmLimit = 8;
    base::Duration warmUp = std::chrono::seconds(5); //!< A server counts as cold for this long.

    auto operator==(const LimitOptions &) const -> bool = default;
};

enum class LimitPolicy {
    Adaptive, //!< By measured latency below the warm limit.
    Static,   //!< Plain baseline: the warm limit once the warm-up is over.
};

constexpr auto LIMIT_POLICY_NAMES = base::EnumTable<LimitPolicy, 2> { {
    { LimitPolicy::Adaptive, "adaptive" },
    { LimitPolicy::Static, "static" },
} };

class ILimit
{
public:
    virtual ~ILimit() = default;

    //! Requests that the server may have at \a now.
    virtual auto limit(base::TimePoint now) const -> std::uint32_t = 0;
    //! Whether the server counts as cold at \a now.
    virtual auto isCold(base::TimePoint now) const -> bool = 0;
    //! The server has turned cold, or may have: it died, restarted or is new here.
    virtual auto becomeCold(base::TimePoint now) -> void = 0;
    //! The server bears \a running requests already and says that it is warm.
    virtual auto becomeWarm(std::uint32_t running, base::TimePoint now) -> void = 0;
    //! One latency, measured with \a running requests on the server. True when it shows that the
    //! server has turned cold.
    virtual auto onLatency(base::Duration latency, std::uint32_t running, base::TimePoint now)
        -> bool = 0;
};

//! The limit of a server that is cold at \a now.
auto makeLimit(LimitPolicy policy, LimitOptions options, base::TimePoint now)
    -> std::unique_ptr<ILimit>;

} // namespace nutmegplank::request::limit
