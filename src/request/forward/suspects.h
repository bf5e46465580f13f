#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/timepoint.h"

namespace nutmegplank::request::forward {

//! A request that backend servers crashed under, and how often.
struct Suspicion
{
    std::string fingerprint;
    std::uint32_t crashes = 0;
};

//! Requests that may crash whatever runs them. What one machine learns travels with its heartbeats.
//! Not safe for several threads.
class Suspects
{
public:
    //! What a repeated request has in common with the first one.
    static auto fingerprintOf(std::string_view workspace, std::string_view path,
                              std::string_view body) -> std::string;

    //! Whether the request has crashed enough servers to be refused.
    auto condemned(const std::string &fingerprint, base::TimePoint now) const -> bool;
    auto noteCrash(const std::string &fingerprint, base::TimePoint now) -> void;
    //! It was answered: it did not cause the crashes.
    auto clear(const std::string &fingerprint) -> void;
    //! What another machine has counted so far.
    auto learn(const std::string &machine, const Suspicion &suspicion, base::TimePoint now) -> void;
    //! What this machine has counted itself.
    auto own() const -> std::vector<Suspicion>;
    auto expire(base::TimePoint now) -> void;

private:
    struct Entry
    {
        std::uint32_t own = 0;
        std::unordered_map<std::string, std::uint32_t> others; //!< By machine.
        base::TimePoint until {};
    };

    std::unordered_map<std::string, Entry> m_entries;
};

} // namespace nutmegplank::request::forward
