#pragma once

#include <absl/status/statusor.h>
#include <boost/json/object.hpp>

#include "app/ctl/adminclient.h"
#include "app/ctl/exitcode.h"
#include "app/ctl/options.h"
#include "version/configuration/configuration.h"

namespace nutmegplank::app::ctl {

//! What every command needs.
struct Context
{
    Options options;
    AdminClient client;
};

//! Reads the operator's key and the certificates that the options name.
auto makeContext(Options options) -> absl::StatusOr<Context>;

//! Prints a problem for people, or as JSON.
auto printProblem(const Options &options, std::string_view problem) -> void;
//! Prints \a problem and gives \a code.
auto fail(const Options &options, ExitCode code, std::string_view problem) -> ExitCode;
auto printJson(const boost::json::object &object) -> void;

//! A GET whose answer must be 200; the problem is printed otherwise.
auto fetchObject(Context &context, const std::string &call, boost::json::object &object)
    -> ExitCode;

//! What is in force, from the controllers' state.
auto fetchConfiguration(Context &context, version::configuration::Configuration &configuration)
    -> ExitCode;

} // namespace nutmegplank::app::ctl
