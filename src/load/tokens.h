#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/hash.h"
#include "base/text.h"

//! Load on the product as its callers make it: trainers and order desks. Used by the bench and by
//! the trainer stand-in.
namespace nutmegplank::load {

//! A 64-bit xxHash of \a text in lower-case hexadecimal with leading zeros.
inline auto hashHex(std::string_view text) -> std::string
{
    constexpr auto DIGITS = std::string_view("0123456789abcdef");
    constexpr auto HASH_CHARACTERS = std::size_t(16);
    constexpr auto DIGIT_BITS = 4;
    constexpr auto DIGIT_MASK = std::uint64_t(0xf);
    auto hash = base::hash64(text);
    auto hex = std::string(HASH_CHARACTERS, '0');
    for (auto at = hex.rbegin(); at != hex.rend(); ++at) {
        *at = DIGITS[hash & DIGIT_MASK];
        hash >>= DIGIT_BITS;
    }
    return hex;
}

//! The token that a stand-in engine makes; tells which weights truly made it (docs/PROTOCOLS.md).
inline auto tokenAt(std::string_view prompt, std::uint64_t seed, std::uint32_t index,
                    std::uint64_t weightVersion) -> std::string
{
    constexpr auto TOKEN_CHARACTERS = std::size_t(6);
    const auto hash = hashHex(base::concat(prompt, "|", seed, "|", index, "|", weightVersion));
    return hash.substr(0, TOKEN_CHARACTERS) + " ";
}

//! The confirmation that a stand-in plain service gives for an order.
inline auto confirmationOf(std::string_view order) -> std::string
{
    return hashHex(order);
}

} // namespace nutmegplank::load
