#include "request/forward/requestreportcodec.h"

#include <algorithm>
#include <charconv>

#include "base/text.h"

namespace nutmegplank::request::forward {

namespace {

constexpr auto ANSWERED = std::string_view("answered");
constexpr auto HEXADECIMAL = 16;
constexpr auto DECIMAL = 10;

auto toHexadecimal(std::uint64_t number) -> std::string
{
    auto digits = std::string(2 * sizeof(number), '\0');
    const auto [end, error] =
        std::to_chars(digits.data(), digits.data() + digits.size(), number, HEXADECIMAL);
    digits.resize(static_cast<std::size_t>(end - digits.data()));
    return digits;
}

template <typename Number>
auto readNumber(std::string_view text, int base) -> std::optional<Number>
{
    auto number = Number();
    const auto *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, number, base);
    if (error != std::errc() || end != last)
        return std::nullopt;
    return number;
}

//! Takes the text up to the next space from \a rest.
auto takeWord(std::string_view &rest) -> std::string_view
{
    const auto space = std::min(rest.find(' '), rest.size());
    const auto word = rest.substr(0, space);
    rest.remove_prefix(std::min(space + 1, rest.size()));
    return word;
}

} // namespace

auto encodeReport(const RequestReport &report, base::TimePoint now) -> std::string
{
    const auto ageOf = [now](base::TimePoint time) {
        return std::max<std::int64_t>(0, base::toMilliseconds(now - time));
    };
    auto text = report.fingerprint;
    for (const auto &[process, at] : report.crashes)
        text += base::concat(" ", toHexadecimal(process), "@", ageOf(at));
    if (report.answeredAt.has_value())
        text += base::concat(" ", ANSWERED, "@", ageOf(*report.answeredAt));
    return text;
}

auto decodeReport(std::string_view text, base::TimePoint writtenAt) -> std::optional<RequestReport>
{
    auto report = RequestReport { std::string(takeWord(text)) };
    while (!text.empty()) {
        const auto word = takeWord(text);
        const auto at = std::min(word.find('@'), word.size() - 1);
        const auto age = readNumber<std::uint32_t>(word.substr(at + 1), DECIMAL);
        if (!age.has_value())
            return std::nullopt;
        const auto time = writtenAt - std::chrono::milliseconds(*age);
        const auto name = word.substr(0, at);
        if (name == ANSWERED) {
            report.answeredAt = time;
            continue;
        }
        const auto process = readNumber<std::uint64_t>(name, HEXADECIMAL);
        if (!process.has_value())
            return std::nullopt;
        report.crashes.push_back({ *process, time });
    }
    if (report.fingerprint.empty() || (report.crashes.empty() && !report.answeredAt.has_value()))
        return std::nullopt;
    return report;
}

} // namespace nutmegplank::request::forward
