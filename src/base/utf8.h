#pragma once

#include <string>
#include <string_view>

namespace nutmegplank::base {

//! Whether \a text is valid UTF-8, as JSON and text fields of log records require.
auto isUtf8(std::string_view text) -> bool;

//! Replaces each byte of \a text that is not part of a valid UTF-8 sequence with U+FFFD.
auto replaceInvalidUtf8(std::string text) -> std::string;

} // namespace nutmegplank::base
