#pragma once

#include <limits>

#include <boost/json/object.hpp>

#include "base/jsonreader.h"

namespace nutmegplank::version::state {

constexpr auto NON_NEGATIVE = base::IntegerRange { 0, std::numeric_limits<std::int64_t>::max() };

auto readNumber(base::ObjectReader &reader, std::string_view field) -> std::uint64_t;
auto readNumber(base::ObjectReader &reader, std::string_view field, std::uint64_t fallback)
    -> std::uint64_t;

//! Reader of a record's body that accepts unknown fields: processes of an older release ignore
//! fields added by a newer one and reach the same state.
auto recordReader(const boost::json::object &body) -> base::ObjectReader;

} // namespace nutmegplank::version::state
