#include "platform/jsonfields.h"

namespace nutmegplank::platform {

namespace json = boost::json;

auto stringField(const json::object &object, std::string_view name) -> std::optional<std::string>
{
    const auto *value = object.if_contains(name);
    if (value == nullptr || !value->is_string())
        return std::nullopt;
    return std::string(value->get_string());
}

auto unsignedField(const json::object &object, std::string_view name)
    -> std::optional<std::uint64_t>
{
    const auto *value = object.if_contains(name);
    if (value == nullptr || !value->is_number())
        return std::nullopt;
    auto error = boost::system::error_code();
    const auto number = value->to_number<std::uint64_t>(error);
    if (error)
        return std::nullopt;
    return number;
}

auto numberField(const json::object &object, std::string_view name) -> std::optional<double>
{
    const auto *value = object.if_contains(name);
    if (value == nullptr || !value->is_number())
        return std::nullopt;
    return value->to_number<double>();
}

auto boolField(const json::object &object, std::string_view name) -> std::optional<bool>
{
    const auto *value = object.if_contains(name);
    if (value == nullptr || !value->is_bool())
        return std::nullopt;
    return value->get_bool();
}

auto objectField(const json::object &object, std::string_view name) -> const json::object *
{
    const auto *value = object.if_contains(name);
    return value == nullptr ? nullptr : value->if_object();
}

auto arrayField(const json::object &object, std::string_view name) -> const json::array *
{
    const auto *value = object.if_contains(name);
    return value == nullptr ? nullptr : value->if_array();
}

auto parseObject(std::string_view text) -> std::optional<json::object>
{
    auto error = boost::system::error_code();
    auto value = json::parse(text, error);
    if (error || !value.is_object())
        return std::nullopt;
    return std::move(value.get_object());
}

} // namespace nutmegplank::platform
