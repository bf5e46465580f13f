#pragma once

#include <cstdint>
#include <string>

#include "base/hash.h"
#include "base/timepoint.h"

namespace nutmegplank::standins {

//! Settings of a server's cold start.
struct ColdStartOptions
{
    base::Duration coldTime {};
    std::uint32_t coldLimit = 1;
    //! After turning cold without a restart, before too much load breaks it.
    base::Duration grace = std::chrono::seconds(1);
};

//! The life of a stand-in server between restarts: while it is cold, more requests than it bears
//! break it. Used on one thread.
class ColdStart
{
public:
    ColdStart(ColdStartOptions options, base::TimePoint now)
        : m_options(options)
        , m_coldSince(now)
        , m_breaksFrom(now)
    { }

    auto isCold(base::TimePoint now) const -> bool
    {
        return now < m_coldSince + m_options.coldTime;
    }
    //! Counts a request in; false when it breaks the server.
    auto begin(base::TimePoint now) -> bool
    {
        ++m_running;
        const auto counts = isCold(now) && now >= m_breaksFrom;
        if (!counts)
            return true;
        m_maxWhileCold = std::max(m_maxWhileCold, m_running);
        return m_running <= m_options.coldLimit;
    }
    //! Counts a request of the life \a bootId out.
    auto end(const std::string &bootId) -> void
    {
        if (bootId == m_bootId)
            --m_running;
    }
    //! Another life: nothing runs, and it is cold.
    auto restart(base::TimePoint now) -> void
    {
        m_bootId = base::randomId();
        m_running = 0;
        m_coldSince = m_breaksFrom = now;
        ++m_restarts;
    }
    //! Turns cold within the same life, without telling.
    auto chill(base::TimePoint now) -> void
    {
        m_coldSince = now;
        m_breaksFrom = now + m_options.grace;
    }
    auto bootId() const -> const std::string & { return m_bootId; }
    auto running() const -> std::uint32_t { return m_running; }
    auto maxWhileCold() const -> std::uint32_t { return m_maxWhileCold; }
    auto restarts() const -> std::uint32_t { return m_restarts; }

private:
    ColdStartOptions m_options;
    std::string m_bootId = base::randomId();
    base::TimePoint m_coldSince;
    base::TimePoint m_breaksFrom;
    std::uint32_t m_running = 0;
    std::uint32_t m_maxWhileCold = 0;
    std::uint32_t m_restarts = 0;
};

} // namespace nutmegplank::standins
