#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace nutmegplank::base {

//! The bytes that \a text encodes in base64 with padding; nothing when it is malformed.
auto decodeBase64(std::string_view text) -> std::optional<std::string>;

//! \a bytes in base64 with padding.
auto encodeBase64(std::string_view bytes) -> std::string;

} // namespace nutmegplank::base
