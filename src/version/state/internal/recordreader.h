#pragma once

#include <limits>

#include <boost/json/object.hpp>

#include "base/jsonreader.h"

namespace nutmegplank::version::state {

constexpr auto ANY_NUMBER = base::IntegerRange { 0, std::numeric_limits<std::int64_t>::max() };

auto readNumber(base::ObjectReader &reader, std::string_view field) -> std::uint64_t;
auto readNumber(base::ObjectReader &reader, std::string_view field, std::uint64_t fallback)
    -> std::uint64_t;

//! Reads a record's body; fields that a newer release added are passed over, so that old and new
//! processes reach the same state.
auto recordReader(const boost::json::object &body) -> base::ObjectReader;

} // namespace nutmegplank::version::state
