#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "request/forward/poisonrequestdetector.h"

namespace nutmegplank::request::forward {

//! A report as text in a heartbeat: the fingerprint, then " PROCESS@AGE" for each crash and
//! " answered@AGE"; the process in hexadecimal, ages at \a now in milliseconds.
auto encodeReport(const RequestReport &report, base::TimePoint now) -> std::string;

//! Reads a report that was written at \a writtenAt; nothing if it is malformed or names neither a
//! crash nor an answer, as those of older programs.
auto decodeReport(std::string_view text, base::TimePoint writtenAt) -> std::optional<RequestReport>;

} // namespace nutmegplank::request::forward
