#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <boost/json.hpp>

//! Reading single fields of the platform's JSON: a field that is absent or of another type is
//! nothing, and the caller decides what that means.
namespace nutmegplank::platform {

auto textField(const boost::json::object &object, std::string_view name)
    -> std::optional<std::string>;
auto wholeField(const boost::json::object &object, std::string_view name)
    -> std::optional<std::uint64_t>;
auto numberField(const boost::json::object &object, std::string_view name) -> std::optional<double>;
auto boolField(const boost::json::object &object, std::string_view name) -> std::optional<bool>;
//! Null when the field is no object.
auto objectField(const boost::json::object &object, std::string_view name)
    -> const boost::json::object *;
//! Null when the field is no array.
auto arrayField(const boost::json::object &object, std::string_view name)
    -> const boost::json::array *;
//! The object that \a text holds; nothing when it holds none.
auto parseObject(std::string_view text) -> std::optional<boost::json::object>;

} // namespace nutmegplank::platform
