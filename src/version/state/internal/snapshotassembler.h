#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

namespace nutmegplank::version::state {

//! Splits a serialized state into parts of at most \a partBytes, never inside a UTF-8 character.
auto splitSnapshot(const std::string &text, std::size_t partBytes) -> std::vector<std::string>;

//! A snapshot of which all chunks have been read.
struct AssembledSnapshot
{
    std::uint64_t atOffset = 0; //!< Covers all records before this offset.
    std::string text;
};

//! Reassembles snapshots from chunks; chunks may repeat and snapshots may stay incomplete.
class SnapshotAssembler
{
public:
    //! Adds the body of a chunk; returns the snapshot if this was its last missing chunk.
    auto add(const boost::json::object &body) -> std::optional<AssembledSnapshot>;

private:
    struct Pending
    {
        std::uint64_t atOffset = 0;
        std::uint64_t count = 0;
        std::map<std::uint64_t, std::string> parts;
    };

    auto dropOldestIfFull() -> void;

    std::map<std::string, Pending> m_pending; //!< By snapshot id.
};

} // namespace nutmegplank::version::state
