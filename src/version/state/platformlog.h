#pragma once

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "version/state/iplatformlog.h"

namespace nutmegplank::version::state {

struct PlatformLogOptions
{
    std::string endpoint; //!< "address:port" of the log service.
    std::string member;   //!< Id of this process, written into each record.
    //! Longest wait of one read for new records; lastConfirmed() lags by about this time.
    base::Duration pollTime = std::chrono::milliseconds(500);
    //! Delay after a read that returned records, so that many records share the bytes of one
    //! exchange. Skipped while an append of this process waits to be read back.
    base::Duration readDelay = std::chrono::milliseconds(200);
};

//! Creates a log client that reads from the first retained record or from the newest snapshot.
auto makePlatformLog(boost::asio::io_context &context, PlatformLogOptions options)
    -> std::unique_ptr<IPlatformLog>;

} // namespace nutmegplank::version::state
