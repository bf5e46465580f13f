#pragma once

#include <concepts>
#include <string>
#include <string_view>

#include <absl/strings/string_view.h>

//! Text helpers. Debian builds Abseil with a string_view of its own, which does not convert from or
//! to std::string_view; everything that crosses that border goes through here.
namespace nutmegplank::base {

inline auto toAbsl(std::string_view text) -> absl::string_view
{
    return { text.data(), text.size() };
}

inline auto toStd(absl::string_view text) -> std::string_view
{
    return { text.data(), text.size() };
}

//! Appends one value as text; numbers in decimal, floating point in its shortest form.
inline auto appendText(std::string &output, std::string_view text) -> void
{
    output += text;
}
inline auto appendText(std::string &output, absl::string_view text) -> void
{
    output.append(text.data(), text.size());
}
inline auto appendText(std::string &output, const std::string &text) -> void
{
    output += text;
}
inline auto appendText(std::string &output, const char *text) -> void
{
    output += text;
}
auto appendText(std::string &output, double number) -> void;

template <std::integral Number>
auto appendText(std::string &output, Number number) -> void
{
    output += std::to_string(number);
}

//! Joins texts and numbers.
template <typename... Parts>
auto concat(const Parts &...parts) -> std::string
{
    auto output = std::string();
    (appendText(output, parts), ...);
    return output;
}

} // namespace nutmegplank::base
