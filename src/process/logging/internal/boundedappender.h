#pragma once

#include <mutex>
#include <string>

#include <log4cplus/appender.h>

namespace nutmegplank::process::logging {

//! Writes to standard output without ever waiting for its reader. Lines gather in memory up to a
//! bound; beyond it they are dropped and counted, and the count becomes a line of its own.
class BoundedAppender : public log4cplus::Appender
{
public:
    ~BoundedAppender() override { destructorImpl(); }
    auto close() -> void override;
    //! Writes what the reader takes now.
    auto flush() -> void;

protected:
    auto append(const log4cplus::spi::InternalLoggingEvent &event) -> void override;

private:
    auto flushLocked() -> void;

    std::mutex m_bufferMutex;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
};

} // namespace nutmegplank::process::logging
