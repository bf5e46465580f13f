#pragma once

#include <string>
#include <string_view>

#include <boost/json.hpp>

namespace nutmegplank::standins {

//! A whole number in \a object; 0 when it is absent.
inline auto numberIn(const boost::json::object &object, std::string_view field) -> std::uint64_t
{
    const auto *value = object.if_contains(field);
    auto error = boost::json::error_code();
    return value == nullptr ? 0 : value->to_number<std::uint64_t>(error);
}

//! A text in \a object; empty when it is absent.
inline auto textIn(const boost::json::object &object, std::string_view field) -> std::string
{
    const auto *value = object.if_contains(field);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

} // namespace nutmegplank::standins
