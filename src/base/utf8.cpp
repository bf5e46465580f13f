#include "base/utf8.h"

#include <algorithm>

#include <boost/nowide/utf/utf.hpp>

namespace nutmegplank::base {

namespace {

namespace utf = boost::nowide::utf;

constexpr auto REPLACEMENT = std::string_view("\xEF\xBF\xBD");

auto isAscii(char byte) -> bool
{
    return static_cast<unsigned char>(byte) < 0x80;
}

//! Start of the first invalid sequence at or after \a begin; the end if there is none.
auto findInvalid(std::string_view text, std::size_t begin) -> std::size_t
{
    const auto *next = text.data() + begin;
    const auto *const end = text.data() + text.size();
    while (true) {
        next = std::find_if_not(next, end, isAscii);
        if (next == end)
            return text.size();
        const auto *const sequence = next;
        const auto codePoint = utf::utf_traits<char>::decode(next, end);
        if (codePoint == utf::illegal || codePoint == utf::incomplete)
            return static_cast<std::size_t>(sequence - text.data());
    }
}

} // namespace

auto isUtf8(std::string_view text) -> bool
{
    return findInvalid(text, 0) == text.size();
}

auto replaceInvalidUtf8(std::string text) -> std::string
{
    auto invalid = findInvalid(text, 0);
    while (invalid < text.size()) {
        text.replace(invalid, 1, REPLACEMENT);
        invalid = findInvalid(text, invalid + REPLACEMENT.size());
    }
    return text;
}

} // namespace nutmegplank::base
