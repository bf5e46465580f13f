#pragma once

#include <array>
#include <optional>
#include <string_view>

//! Names of enumerators, kept in one table an enum; used for JSON, metrics and logs.
namespace nutmegplank::base {

//! One enumerator and its name on the wire.
template <typename Enum>
struct EnumName
{
    Enum value;
    std::string_view name;
};

//! The table of an enum: enumerators with their names.
template <typename Enum, std::size_t Size>
using EnumTable = std::array<EnumName<Enum>, Size>;

//! The name of \a value; "unknown" when the table lacks it.
template <typename Enum, std::size_t Size>
constexpr auto nameOf(const EnumTable<Enum, Size> &table, Enum value) -> std::string_view
{
    for (const auto &entry : table) {
        if (entry.value == value)
            return entry.name;
    }
    return "unknown";
}

//! The enumerator called \a name, if there is one.
template <typename Enum, std::size_t Size>
constexpr auto valueOf(const EnumTable<Enum, Size> &table, std::string_view name)
    -> std::optional<Enum>
{
    for (const auto &entry : table) {
        if (entry.name == name)
            return entry.value;
    }
    return std::nullopt;
}

//! All names, separated by ", ", for messages that say what is allowed.
template <typename Enum, std::size_t Size>
auto allowedNames(const EnumTable<Enum, Size> &table) -> std::string
{
    auto names = std::string();
    for (const auto &entry : table) {
        if (!names.empty())
            names += ", ";
        names += entry.name;
    }
    return names;
}

} // namespace nutmegplank::base
