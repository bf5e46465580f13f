#pragma once

#include <string_view>

#include "version/configuration/configuration.h"

namespace nutmegplank::request::admission {

//! Whether \a path means the same to all who read it: absolute, without dot segments, empty
//! segments, backslashes or escaped separators. Others could pass by an open route and be read as
//! another path by a backend server.
auto isPlainPath(std::string_view path) -> bool;

//! The route whose prefix is the longest that covers \a path in whole segments; null when none
//! does.
auto findRoute(const version::configuration::Configuration &configuration, std::string_view path)
    -> const version::configuration::Route *;

//! Whether a method may be repeated by the rules of HTTP.
auto isIdempotentMethod(std::string_view method) -> bool;

} // namespace nutmegplank::request::admission
