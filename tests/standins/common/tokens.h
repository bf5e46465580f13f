#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/hash.h"
#include "base/text.h"

//! What the stand-ins of the platform share.
namespace nutmegplank::standins {

constexpr auto HASH_CHARACTERS = 16; //!< Of a 64-bit hash in hexadecimal.
constexpr auto TOKEN_CHARACTERS = 6; //!< Of a token, without its space.

//! A 64-bit xxHash of \a text in lower-case hexadecimal with leading zeros.
inline auto hashHex(std::string_view text) -> std::string
{
    constexpr auto DIGITS = std::string_view("0123456789abcdef");
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

//! The token at position \a index of an answer, made by weights of \a weightVersion. A pure
//! function, so that whoever reads the answer can tell which weights truly made each token.
inline auto tokenAt(std::string_view prompt, std::uint64_t seed, std::uint32_t index,
                    std::uint64_t weightVersion) -> std::string
{
    const auto hash = hashHex(base::concat(prompt, "|", seed, "|", index, "|", weightVersion));
    return hash.substr(0, TOKEN_CHARACTERS) + " ";
}

//! The confirmation that a plain service gives for an order.
inline auto confirmationOf(std::string_view order) -> std::string
{
    return hashHex(order);
}

} // namespace nutmegplank::standins
