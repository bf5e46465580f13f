#include "base/hash.h"

#include <memory>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace nutmegplank::base {

namespace {

auto toHex(std::span<const unsigned char> bytes) -> std::string
{
    constexpr std::string_view DIGITS = "0123456789abcdef";
    auto text = std::string();
    text.reserve(bytes.size() * 2);
    for (const auto byte : bytes) {
        text += DIGITS[byte >> 4];
        text += DIGITS[byte & 15];
    }
    return text;
}

struct Weighted
{
    std::uint64_t weight;
    std::string candidate;
};

} // namespace

auto hash64(std::string_view text, std::uint64_t seed) -> std::uint64_t
{
    return XXH64(text.data(), text.size(), seed);
}

auto sha256Hex(std::string_view text) -> std::string
{
    return sha256Hex({ text });
}

auto sha256Hex(std::initializer_list<std::string_view> parts) -> std::string
{
    const auto context =
        std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const auto part : parts)
        EVP_DigestUpdate(context.get(), part.data(), part.size());
    auto digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>();
    EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
    return toHex(digest);
}

auto equalConstantTime(std::string_view left, std::string_view right) -> bool
{
    if (left.size() != right.size())
        return false;
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

auto randomId() -> std::string
{
    auto bytes = std::array<unsigned char, 16>();
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
    return toHex(bytes);
}

auto rendezvousRanking(std::string_view key, std::span<const std::string> candidates)
    -> std::vector<std::string>
{
    auto weighted = std::vector<Weighted>();
    weighted.reserve(candidates.size());
    const auto seed = hash64(key);
    for (const auto &candidate : candidates)
        weighted.push_back({ hash64(candidate, seed), candidate });
    std::sort(weighted.begin(), weighted.end(), [](const Weighted &left, const Weighted &right) {
        return left.weight != right.weight ? left.weight > right.weight
                                           : left.candidate < right.candidate;
    });
    auto ranking = std::vector<std::string>();
    ranking.reserve(weighted.size());
    for (auto &entry : weighted)
        ranking.push_back(std::move(entry.candidate));
    return ranking;
}

auto rendezvousOwner(std::string_view key, std::span<const std::string> candidates) -> std::string
{
    auto owner = std::string();
    auto best = std::uint64_t(0);
    const auto seed = hash64(key);
    for (const auto &candidate : candidates) {
        const auto weight = hash64(candidate, seed);
        if (owner.empty() || weight > best || (weight == best && candidate < owner)) {
            owner = candidate;
            best = weight;
        }
    }
    return owner;
}

} // namespace nutmegplank::base
