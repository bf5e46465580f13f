#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

namespace nutmegplank::version::state {

//! Text of a state cut into parts that each fit one record, never inside a character.
auto splitSnapshot(const std::string &text, std::size_t partBytes) -> std::vector<std::string>;

//! A snapshot whose chunks were all read.
struct AssembledSnapshot
{
    std::uint64_t atOffset = 0; //!< Holds all records before this offset.
    std::string text;
};

//! Puts chunks of snapshots together; chunks may come twice and snapshots may be cut short.
class SnapshotAssembler
{
public:
    //! Takes the body of a chunk; gives the snapshot when it was the last one missing.
    auto add(const boost::json::object &body) -> std::optional<AssembledSnapshot>;

private:
    struct Pending
    {
        std::uint64_t atOffset = 0;
        std::uint64_t count = 0;
        std::map<std::uint64_t, std::string> parts;
    };

    auto dropOldest() -> void;

    std::map<std::string, Pending> m_pending; //!< By snapshot id.
};

} // namespace nutmegplank::version::state
