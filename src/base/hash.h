#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

//! Hashes: xxHash for placement, SHA-256 for keys and fingerprints, random ids.
namespace nutmegplank::base {

//! 64-bit xxHash of \a text under \a seed; stable across processes and releases.
auto hash64(std::string_view text, std::uint64_t seed = 0) -> std::uint64_t;

//! SHA-256 of \a text in lower-case hexadecimal.
auto sha256Hex(std::string_view text) -> std::string;
//! The same of all \a parts one after the other, without joining them in memory.
auto sha256Hex(std::initializer_list<std::string_view> parts) -> std::string;

//! Whether two texts are equal, in a time that depends on their length only.
auto equalConstantTime(std::string_view left, std::string_view right) -> bool;

//! A random id of 128 bits in hexadecimal, from the operating system's generator.
auto randomId() -> std::string;

//! The candidate with the highest rendezvous weight for \a key; empty when there is no candidate.
//! Highest random weight hashing: a member that leaves moves only its own keys.
auto rendezvousOwner(std::string_view key, std::span<const std::string> candidates) -> std::string;

//! All candidates, best first, by rendezvous weight for \a key.
auto rendezvousRanking(std::string_view key, std::span<const std::string> candidates)
    -> std::vector<std::string>;

} // namespace nutmegplank::base
