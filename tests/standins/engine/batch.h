#pragma once

#include <deque>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio.hpp>

#include "base/timepoint.h"

namespace nutmegplank::standins {

//! One event of a stream.
struct StreamEvent
{
    std::uint32_t index = 0;
    std::string token;
    std::uint64_t weightVersion = 0;
};

enum class StreamEnd {
    Open,
    Whole,
    Cancelled, //!< Ended without its totals.
    Crashed,   //!< The connection breaks.
};

//! One completion that runs. Its connection waits on the timer for events.
struct Stream
{
    explicit Stream(const boost::asio::any_io_executor &executor)
        : changed(executor, boost::asio::steady_timer::time_point::max())
    { }

    std::string id;
    std::string prompt;
    std::uint64_t seed = 0;
    std::uint32_t priority = 0; //!< Lower goes first.
    std::uint32_t next = 0;     //!< Position of the next token.
    std::uint32_t last = 0;     //!< Position after the last token.
    base::TimePoint readyAt {}; //!< When its prompt has been read.
    std::deque<StreamEvent> events;
    std::string text;
    StreamEnd end = StreamEnd::Open;
    boost::asio::steady_timer changed;
};
using StreamPtr = std::shared_ptr<Stream>;

//! Continuous batching: each step gives every stream of the batch one token, and a step takes
//! longer the more streams it carries. Used on one thread.
class Batch
{
public:
    explicit Batch(std::size_t width)
        : m_width(width)
    { }

    auto add(StreamPtr stream) -> void;
    //! One step with the weights \a version at \a now.
    auto step(std::uint64_t version, base::TimePoint now) -> void;
    //! Ends the streams of \a id; false when there is none.
    auto cancel(const std::string &id) -> bool;
    auto crash() -> void;
    auto size() const -> std::size_t { return m_streams.size(); }
    auto find(const std::string &id) const -> StreamPtr;
    auto tokens() const -> std::uint64_t { return m_tokens; }

private:
    auto finish(Stream &stream, StreamEnd end) -> void;

    std::size_t m_width;
    std::list<StreamPtr> m_streams; //!< By priority, then by arrival.
    std::uint64_t m_tokens = 0;
};

} // namespace nutmegplank::standins
