#pragma once

#include <map>
#include <mutex>
#include <string>

#include "process/metrics/metrics.h"

namespace nutmegplank::app::gateway {

//! What callers see, by route and by refusal code.
class CallerMetrics
{
public:
    explicit CallerMetrics(process::metrics::Registry &registry);

    //! A request that was answered after \a total, of which a backend server took \a atServer.
    auto recordAnswer(const std::string &route, base::Duration total, base::Duration atServer)
        -> void;
    //! A call about a trainer's step.
    auto recordStep(base::Duration total) -> void;
    auto recordRefusal(const std::string &code) -> void;

private:
    auto totalOf(const std::string &route) -> process::metrics::Distribution &;

    process::metrics::Registry &m_registry;
    process::metrics::Distribution &m_added;
    std::mutex m_mutex;
    std::map<std::string, process::metrics::Distribution *> m_totals;
    std::map<std::string, process::metrics::Counter *> m_refusals;
};

} // namespace nutmegplank::app::gateway
