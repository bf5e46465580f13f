#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/json/value.hpp>

#include "base/timepoint.h"

//! Checked reading of JSON: each problem is one line that names the field and what is allowed.
namespace nutmegplank::base {

//! Allowed whole numbers, both ends included.
struct IntegerRange
{
    std::int64_t lowest;
    std::int64_t highest;
};

//! Allowed durations, both ends included.
struct DurationRange
{
    Duration shortest;
    Duration longest;
};

//! Parses JSON that may hold comments and trailing commas; the error names line and column.
auto parseJson(std::string_view text) -> absl::StatusOr<boost::json::value>;

//! Parses "250ms", "5s", "2m" or "1h".
auto parseDuration(std::string_view text) -> absl::StatusOr<Duration>;

//! Reads the fields of one JSON object. The first problem is kept and later reads return defaults,
//! so that a caller reads all fields in a row and asks finish() once.
class ObjectReader
{
public:
    //! \a place names the object in errors, for instance "gateway.json: limits".
    ObjectReader(const boost::json::value &value, std::string place);

    auto has(std::string_view field) const -> bool;
    auto string(std::string_view field) -> std::string;
    auto string(std::string_view field, std::string_view fallback) -> std::string;
    auto integer(std::string_view field, IntegerRange range) -> std::int64_t;
    auto integer(std::string_view field, IntegerRange range, std::int64_t fallback) -> std::int64_t;
    auto number(std::string_view field, double lowest, double highest, double fallback) -> double;
    auto boolean(std::string_view field, bool fallback) -> bool;
    auto duration(std::string_view field, DurationRange range, Duration fallback) -> Duration;
    auto strings(std::string_view field) -> std::vector<std::string>;
    //! The elements of an array of objects; an absent field is an empty array.
    auto objects(std::string_view field) -> std::vector<ObjectReader>;
    //! A nested object; an absent field reads as an empty object.
    auto object(std::string_view field) -> ObjectReader;
    //! Marks a field as known and gives its raw value; null when absent.
    auto raw(std::string_view field) -> boost::json::value;
    //! Records a problem of the caller's own with a field.
    auto fail(std::string_view field, std::string_view problem) -> void;
    //! Takes over the problem of a nested reader.
    auto absorb(ObjectReader &nested) -> void;
    //! The first problem so far; unknown fields are none, for peers that may add some.
    auto problem() const -> absl::Status { return m_problem; }
    //! The first problem, or the first field that nobody asked for.
    auto finish() -> absl::Status;
    auto place() const -> const std::string & { return m_place; }

private:
    auto find(std::string_view field, bool required) -> const boost::json::value *;
    auto pathOf(std::string_view field) const -> std::string;

    boost::json::value m_value;
    std::string m_place;
    std::set<std::string, std::less<>> m_known;
    absl::Status m_problem;
};

} // namespace nutmegplank::base
