#pragma once

#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "version/streamorigin/streamorigin.h"

namespace nutmegplank::request::forward {

struct OriginAnswer
{
    //! Version that began the stream; nothing if that is not known.
    std::optional<std::string> software;
    bool mayBeKnownLater = false; //!< The log could not be read.
};

//! Which software version began a caller's stream, for as long as it may be taken up again.
class IStreamOrigins
{
public:
    virtual ~IStreamOrigins() = default;

    //! Whether a stream that begins at \a software must be recorded before it is passed on.
    virtual auto mustRecord(const std::string &service, const std::string &software) const
        -> bool = 0;
    //! Whether record() is likely to succeed now.
    virtual auto canRecord() const -> bool = 0;
    //! Records where a stream begins. False if that failed; the stream must not be passed on then.
    virtual auto record(version::streamorigin::StreamOrigin origin)
        -> boost::asio::awaitable<bool> = 0;
    //! Software version that began \a caller's stream of \a requestId, which is empty if the
    //! caller does not name it.
    virtual auto find(std::string service, std::string requestId, version::routing::Owner caller)
        -> boost::asio::awaitable<OriginAnswer> = 0;
};

} // namespace nutmegplank::request::forward
