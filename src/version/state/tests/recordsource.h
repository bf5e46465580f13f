#pragma once

#include <random>

#include <boost/json.hpp>

#include "base/text.h"
#include "version/state/internal/replay.h"

namespace nutmegplank::version::state {

//! Generates random records of all kinds; some repeat an earlier record with the same id. Most are
//! valid for the state that results from the earlier records, the others are stale.
class RecordSource
{
public:
    explicit RecordSource(std::uint64_t seed)
        : m_random(seed)
    { }

    auto randomBelow(int limit) -> int
    {
        return std::uniform_int_distribution(0, limit - 1)(m_random);
    }

    //! Generates the record at \a offset.
    auto make(std::uint64_t offset) -> Record
    {
        if (!m_generated.empty() && randomBelow(5) == 0) {
            auto copy = m_generated[static_cast<std::size_t>(
                randomBelow(static_cast<int>(m_generated.size())))];
            copy.offset = offset;
            m_reference.apply(copy);
            return copy;
        }
        auto record = Record { offset, base::concat("id", offset), makeBody() };
        m_generated.push_back(record);
        m_reference.apply(record);
        return record;
    }

private:
    auto currentOrRandom(std::uint64_t current) -> std::uint64_t
    {
        return randomBelow(4) == 0 ? static_cast<std::uint64_t>(randomBelow(50)) : current;
    }

    auto makeBody() -> boost::json::object
    {
        static const auto scopes = std::array { "plan", "usage", "orders/z" };
        const auto state = m_reference.copyState();
        const auto scope = std::string(scopes[static_cast<std::size_t>(randomBelow(3))]);
        const auto leaseOf = [&state](const std::string &name) {
            const auto found = state->leases.find(name);
            return found == state->leases.end() ? LeaseState() : found->second;
        };
        const auto lease = leaseOf(scope);
        switch (randomBelow(8)) {
        case 0:
            return { { "kind", "lease_claim" },
                     { "scope", scope },
                     { "holder", "n#1" },
                     { "supersedes", currentOrRandom(lease.lastRenewalOffset) },
                     { "term_ms", 3000 } };
        case 1:
            return { { "kind", randomBelow(6) == 0 ? "lease_release" : "lease_renewal" },
                     { "scope", scope },
                     { "holder", "n#1" },
                     { "fencing_number", currentOrRandom(lease.fencingNumber) } };
        case 2:
            return change(currentOrRandom(state->configuration->version));
        case 3:
            return { { "kind", "weights" },
                     { "model", "m" },
                     { "version", randomBelow(10) },
                     { "source", base::concat("s", randomBelow(3)) } };
        case 4:
            return { { "kind", "plan" },
                     { "scope_fencing_number", currentOrRandom(leaseOf("plan").fencingNumber) },
                     { "preset", "p" },
                     { "targets", boost::json::array() } };
        case 5:
            return { { "kind", "order_intent" },
                     { "fencing_number", currentOrRandom(lease.fencingNumber) },
                     { "scope", scope },
                     { "order_id", base::concat("o", randomBelow(20)) },
                     { "order_kind", "create" },
                     { "service", "s" },
                     { "zone", "z" },
                     { "cheap", false } };
        case 6:
            return { { "kind", "order_outcome" },
                     { "order_id", base::concat("o", randomBelow(20)) },
                     { "server", base::concat("b", randomBelow(3)) },
                     { "result", "done" } };
        default:
            break;
        }
        const auto last = state->windows.empty() ? 0 : state->windows.rbegin()->first;
        return window(last + 1, currentOrRandom(leaseOf("usage").fencingNumber));
    }

    auto change(std::uint64_t baseVersion) -> boost::json::object
    {
        const auto name = base::concat("w", randomBelow(3), "é");
        auto value = boost::json::value(nullptr);
        if (randomBelow(3) > 0)
            value = boost::json::object { { "name", name }, { "weight", 1 + randomBelow(5) } };
        auto entry =
            boost::json::object { { "object", "workspace" }, { "name", name }, { "value", value } };
        return { { "kind", "configuration_change" },
                 { "base_version", baseVersion },
                 { "who", "o" },
                 { "why", "\"quoted\"" },
                 { "what", "test" },
                 { "changes", boost::json::array { entry } } };
    }

    auto window(std::uint64_t number, std::uint64_t fencingNumber) -> boost::json::object
    {
        if (randomBelow(3) == 0)
            return { { "kind", "usage_window" }, { "number", number - 1 }, { "reported", true } };
        auto figure = boost::json::object { { "workspace", "w" },
                                            { "service", "s" },
                                            { "requests", randomBelow(9) } };
        auto mark = boost::json::object { { "process", base::concat("g", randomBelow(3)) },
                                          { "counted", boost::json::array { figure } } };
        return { { "kind", "usage_window" },
                 { "fencing_number", fencingNumber },
                 { "number", randomBelow(4) == 0 ? number - 1 : number },
                 { "start_ms", 1 },
                 { "end_ms", 2 },
                 { "figures", boost::json::array { figure } },
                 { "marks", boost::json::array { mark } } };
    }

    std::mt19937_64 m_random;
    std::vector<Record> m_generated;
    Replay m_reference;
};

} // namespace nutmegplank::version::state
