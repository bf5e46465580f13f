#pragma once

#include <optional>

#include "version/streamorigin/streamorigin.h"

namespace nutmegplank::version::streamorigin {

auto encodeOrigin(const StreamOrigin &origin) -> std::string;
//! Returns nullopt if the record is malformed.
auto decodeOrigin(const std::string &data) -> std::optional<StreamOrigin>;

//! A record of a keyed topic that sets the baseline of \a service.
auto encodeBaseline(const std::string &service, const Baseline &baseline) -> std::string;
//! The baseline in the value of such a record; nullopt if it is malformed.
auto decodeBaseline(const std::string &value) -> std::optional<Baseline>;

} // namespace nutmegplank::version::streamorigin
