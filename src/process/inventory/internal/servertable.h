#pragma once

#include <map>
#include <string>

#include <absl/status/status.h>
#include <boost/json/value.hpp>

#include "process/inventory/iinventory.h"

namespace nutmegplank::process::inventory {

//! Backend servers by id, brought forward by answers of the VM list. Pure.
class ServerTable
{
public:
    //! Takes in one answer of GET /v1/vms; an answer that is malformed changes nothing.
    auto apply(const boost::json::value &answer) -> absl::Status;
    auto revision() const -> std::uint64_t { return m_revision; }
    auto view() const -> ServerViewPtr;

private:
    std::map<std::string, BackendServer> m_servers;
    std::uint64_t m_revision = 0;
};

} // namespace nutmegplank::process::inventory
