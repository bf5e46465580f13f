#pragma once

#include <mutex>
#include <random>
#include <string>

#include <absl/status/status.h>
#include <boost/json/value.hpp>

#include "base/timepoint.h"

namespace nutmegplank::standins::log {

//! What becomes of one append.
enum class AppendFate {
    Answer,
    LoseAnswer, //!< Takes effect, and the connection breaks.
    TooMany,
    Outage,
};

//! Faults set through /control. Safe for several threads.
class LogFaults
{
public:
    //! Reads {"outage", "delay_ms", "lose_answers", "append_rate"}; absent fields stay as they are.
    //! "lose_answers" below 1 is a fraction, from 1 on the number of next appends.
    auto set(const boost::json::object &control) -> absl::Status;
    auto fateOfAppend(base::TimePoint now) -> AppendFate;
    auto outage() const -> bool;
    auto delay() const -> base::Duration;
    auto stats() const -> boost::json::object;

private:
    auto overRate(base::TimePoint now) -> bool;

    mutable std::mutex m_mutex;
    std::mt19937_64 m_random { 1 };
    bool m_outage = false;
    base::Duration m_delay {};
    double m_loseShare = 0;
    std::int64_t m_loseNext = 0;
    double m_appendRate = 0; //!< A second; 0 for no limit.
    double m_tokens = 0;
    base::TimePoint m_refilled {};
    std::uint64_t m_appends = 0;
    std::uint64_t m_lost = 0;
    std::uint64_t m_refused = 0;
};

} // namespace nutmegplank::standins::log
