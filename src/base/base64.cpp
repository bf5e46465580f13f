#include "base/base64.h"

#include <openssl/evp.h>

namespace nutmegplank::base {

namespace {

constexpr auto GROUP_TEXT = std::size_t(4);
constexpr auto GROUP_BYTES = std::size_t(3);

} // namespace

auto decodeBase64(std::string_view text) -> std::optional<std::string>
{
    if (text.empty())
        return std::string();
    if (text.size() % GROUP_TEXT != 0)
        return std::nullopt;
    auto bytes = std::string(text.size() / GROUP_TEXT * GROUP_BYTES, '\0');
    const auto decoded = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                         reinterpret_cast<const unsigned char *>(text.data()),
                                         static_cast<int>(text.size()));
    if (decoded < 0)
        return std::nullopt;
    // OpenSSL counts padding as bytes.
    auto size = static_cast<std::size_t>(decoded);
    if (text.ends_with("=="))
        size -= 2;
    else if (text.ends_with("="))
        size -= 1;
    bytes.resize(size);
    return bytes;
}

auto encodeBase64(std::string_view bytes) -> std::string
{
    auto text = std::string((bytes.size() + GROUP_BYTES - 1) / GROUP_BYTES * GROUP_TEXT + 1, '\0');
    const auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                        reinterpret_cast<const unsigned char *>(bytes.data()),
                                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

} // namespace nutmegplank::base
