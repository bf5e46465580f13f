#include "process/servers/evacuatedzones.h"

#include <utility>

namespace nutmegplank::process::servers {

auto EvacuatedZones::apply(const std::string &zone, bool evacuated, std::uint64_t offset) -> bool
{
    auto &state = m_states[zone];
    if (offset < state.knownUntil)
        return false;
    state.knownUntil = offset + 1;
    return std::exchange(state.evacuated, evacuated) != evacuated;
}

auto EvacuatedZones::retain(const std::set<std::string> &recorded, std::uint64_t end)
    -> std::set<std::string>
{
    auto ended = std::set<std::string>();
    for (auto &[zone, state] : m_states) {
        if (recorded.contains(zone) || end <= state.knownUntil)
            continue;
        state.knownUntil = end;
        if (std::exchange(state.evacuated, false))
            ended.insert(zone);
    }
    return ended;
}

auto EvacuatedZones::zones() const -> std::set<std::string>
{
    auto evacuated = std::set<std::string>();
    for (const auto &[zone, state] : m_states) {
        if (state.evacuated)
            evacuated.insert(zone);
    }
    return evacuated;
}

} // namespace nutmegplank::process::servers
