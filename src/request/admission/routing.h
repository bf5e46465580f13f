#pragma once

#include <string_view>

#include "version/configuration/configuration.h"

namespace nutmegplank::request::admission {

//! Whether \a path is absolute and has no dot segments, empty segments, backslashes, control
//! characters, spaces or escaped separators. A backend server could resolve such a path to another
//! one, so that a request admitted by an open route would reach a protected path.
auto isNormalizedPath(std::string_view path) -> bool;

//! The route with the longest prefix of \a path that ends at a segment boundary; null when no route
//! matches.
auto findRoute(const version::configuration::Configuration &configuration, std::string_view path)
    -> const version::configuration::Route *;

//! Whether HTTP defines \a method as idempotent.
auto isIdempotentMethod(std::string_view method) -> bool;

} // namespace nutmegplank::request::admission
