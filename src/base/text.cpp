#include "base/text.h"

#include <array>
#include <charconv>

namespace nutmegplank::base {

namespace {

constexpr auto LONGEST_DOUBLE = std::size_t(32);

} // namespace

auto appendText(std::string &output, double number) -> void
{
    auto buffer = std::array<char, LONGEST_DOUBLE>();
    const auto written = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number);
    output.append(buffer.data(), written.ptr);
}

} // namespace nutmegplank::base
