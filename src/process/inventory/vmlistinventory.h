#pragma once

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "process/inventory/iinventory.h"

namespace nutmegplank::process::inventory {

//! Follows the platform's VM list at \a endpoint ("address:port") by long polls for changes only.
//! When the list cannot be reached the last view stays.
auto makeVmListInventory(boost::asio::io_context &context, std::string endpoint)
    -> std::unique_ptr<IInventory>;

} // namespace nutmegplank::process::inventory
