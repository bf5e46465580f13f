#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <boost/json.hpp>

//! Accessors for single fields of the platform's JSON. They return std::nullopt or null if the
//! field is absent or has another type; the caller decides whether that is an error.
namespace nutmegplank::platform {

auto stringField(const boost::json::object &object, std::string_view name)
    -> std::optional<std::string>;
auto unsignedField(const boost::json::object &object, std::string_view name)
    -> std::optional<std::uint64_t>;
auto numberField(const boost::json::object &object, std::string_view name) -> std::optional<double>;
auto boolField(const boost::json::object &object, std::string_view name) -> std::optional<bool>;
auto objectField(const boost::json::object &object, std::string_view name)
    -> const boost::json::object *;
auto arrayField(const boost::json::object &object, std::string_view name)
    -> const boost::json::array *;
//! Returns std::nullopt if \a text is not valid JSON or not an object.
auto parseObject(std::string_view text) -> std::optional<boost::json::object>;

} // namespace nutmegplank::platform
