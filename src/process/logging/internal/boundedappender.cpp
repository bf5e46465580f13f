#include "process/logging/internal/boundedappender.h"

#include <poll.h>
#include <unistd.h>

#include <climits>
#include <sstream>

#include <log4cplus/layout.h>
#include <log4cplus/spi/loggingevent.h>

#include "base/text.h"

namespace nutmegplank::process::logging {

namespace {

//! Lines beyond this are dropped while nobody reads.
constexpr auto MOST_BYTES = std::size_t(256 * 1024);
//! Gathered before a write, so that a line does not cost a system call.
constexpr auto BATCH_BYTES = std::size_t(8 * 1024);
//! A pipe that polls as writable takes this much without blocking.
constexpr auto SAFE_BYTES = std::size_t(PIPE_BUF);

} // namespace

auto BoundedAppender::append(const log4cplus::spi::InternalLoggingEvent &event) -> void
{
    auto line = std::ostringstream();
    layout->formatAndAppend(line, event);
    const auto lock = std::lock_guard(m_bufferMutex);
    if (m_buffer.size() > MOST_BYTES) {
        ++m_dropped;
        return;
    }
    m_buffer += line.str();
    if (m_buffer.size() > BATCH_BYTES)
        flushLocked();
}

auto BoundedAppender::flush() -> void
{
    const auto lock = std::lock_guard(m_bufferMutex);
    flushLocked();
}

auto BoundedAppender::flushLocked() -> void
{
    auto written = std::size_t(0);
    while (written < m_buffer.size()) {
        auto descriptor = pollfd { STDOUT_FILENO, POLLOUT, 0 };
        if (poll(&descriptor, 1, 0) <= 0 || (descriptor.revents & POLLOUT) == 0)
            break;
        const auto size = std::min(SAFE_BYTES, m_buffer.size() - written);
        const auto taken = write(STDOUT_FILENO, m_buffer.data() + written, size);
        if (taken <= 0)
            break;
        written += static_cast<std::size_t>(taken);
    }
    m_buffer.erase(0, written);
    if (m_dropped > 0 && m_buffer.size() < BATCH_BYTES) {
        m_buffer += base::concat(R"({"event":"log.dropped","lines":)", m_dropped, "}\n");
        m_dropped = 0;
    }
}

auto BoundedAppender::close() -> void
{
    flush();
    closed = true;
}

} // namespace nutmegplank::process::logging
