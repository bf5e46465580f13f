#pragma once

#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

//! Errors of the product: an absl::Status that also names the step and the peer at which it arose.
namespace nutmegplank::base {

//! Where an error arose.
struct ErrorPlace
{
    std::string step; //!< What was being done, for instance "log.append".
    std::string peer; //!< Address or id of the other side; empty when there is none.
};

//! A status of the given code that carries its place.
auto makeError(absl::StatusCode code, std::string_view message, ErrorPlace place) -> absl::Status;

//! The place carried by \a status; empty fields when it carries none.
auto errorPlace(const absl::Status &status) -> ErrorPlace;

//! One line for people: code, message, step and peer.
auto describe(const absl::Status &status) -> std::string;

} // namespace nutmegplank::base
