#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "base/timepoint.h"

namespace nutmegplank::version::leadership {

//! Permission for one call to a peer, given right before its bytes are written.
struct CallPermission
{
    //! The call must have ended by then. Bytes that are still unsent or unacknowledged must be
    //! discarded, because the peer would otherwise receive them when another holder may be acting.
    base::TimePoint until;
};

//! Returns a permission if the lease with this fencing number is held at \a now.
using PermissionCheck =
    std::function<std::optional<CallPermission>(std::uint64_t fence, base::TimePoint now)>;

//! Calls that only the lease holder may make. Keeps count of the calls in progress, so that a
//! holder hands its lease over only when none of them can reach a peer any more.
class FencedCalls
{
public:
    explicit FencedCalls(PermissionCheck check)
        : m_check(std::move(check))
    { }

    //! One call in progress; it ends with the object.
    class Call
    {
    public:
        Call(FencedCalls &calls, CallPermission permission)
            : m_calls(calls)
            , m_permission(permission)
        {
            ++m_calls.m_active;
        }
        ~Call() { --m_calls.m_active; }
        Call(const Call &) = delete;
        auto operator=(const Call &) -> Call & = delete;

        auto until() const -> base::TimePoint { return m_permission.until; }

    private:
        FencedCalls &m_calls;
        CallPermission m_permission;
    };

    //! To be called right before the bytes are written; null if the call is not permitted.
    auto begin(std::uint64_t fence, base::TimePoint now) -> std::unique_ptr<Call>
    {
        const auto permission = m_check(fence, now);
        return permission.has_value() ? std::make_unique<Call>(*this, *permission) : nullptr;
    }
    auto active() const -> std::size_t { return m_active; }

private:
    PermissionCheck m_check;
    std::size_t m_active = 0;
};

} // namespace nutmegplank::version::leadership
