#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "base/jsonreader.h"

//! Settings files: JSON with comments, checked before anything starts.
namespace nutmegplank::process::settings {

//! Exit code of a program whose settings or command line are wrong.
constexpr auto EXIT_BAD_SETTINGS = 2;

//! What every process of the product is told about itself.
struct NodeSettings
{
    std::string id;                 //!< Unique name of this process, for instance "gateway-3".
    std::string vm;                 //!< Name of the VM that it runs on.
    std::string zone;               //!< Availability zone of that VM.
    std::string address;            //!< IP number that it listens on.
    std::uint16_t httpPort;         //!< Port for callers, or for the metrics page and operators.
    std::uint16_t linkPort;         //!< TCP port for messages between processes.
    std::uint16_t gossipPort;       //!< UDP port for membership.
    std::string logService;         //!< "address:port" of the platform's log service.
    std::vector<std::string> seeds; //!< "address:port" of gossip ports to join through.
    std::string logLevel;           //!< debug, info, warning or error.
    std::uint16_t threads;          //!< Threads that serve requests.
};

//! Reads and parses a settings file; the error names the file and the place in it.
auto readFile(const std::string &path) -> absl::StatusOr<boost::json::value>;

//! Reads the fields of NodeSettings from the object "node"; problems stay in \a reader.
auto readNode(base::ObjectReader &reader) -> NodeSettings;

//! Whether \a text is "IP number:port".
auto isEndpoint(std::string_view text) -> bool;

} // namespace nutmegplank::process::settings
