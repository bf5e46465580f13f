#pragma once

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "version/state/iplatformlog.h"

namespace nutmegplank::version::state {

struct PlatformLogOptions
{
    std::string endpoint; //!< "address:port" of the log service.
    std::string member;   //!< Id of this process, put into each record.
    //! Longest wait of one read; lastConfirmed() is about as fresh as that.
    base::Duration pollTime = std::chrono::milliseconds(500);
};

//! Follows the log from its first kept record or newest snapshot on.
auto makePlatformLog(boost::asio::io_context &context, PlatformLogOptions options)
    -> std::unique_ptr<IPlatformLog>;

} // namespace nutmegplank::version::state
