#pragma once

#include <deque>
#include <mutex>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/timepoint.h"
#include "connection/link/link.pb.h"

namespace nutmegplank::request::execution {

//! One thing that happens to a run.
struct RunEvent
{
    enum class Kind {
        Message,   //!< From the dispatcher.
        NeverSent, //!< The attempt certainly never left this process.
        PeerLost,  //!< The dispatcher is gone.
        Cancelled, //!< Look at the cancellation.
    };
    Kind kind = Kind::Message;
    std::string attemptId;
    wire::Envelope message;
};

//! Events of one run: filled from any thread, emptied by the run's coroutine.
class Mailbox
{
public:
    explicit Mailbox(const boost::asio::any_io_executor &executor);

    auto push(RunEvent event) -> void;

    //! The next event; nullopt after \a patience without one.
    auto pop(base::Duration patience) -> boost::asio::awaitable<std::optional<RunEvent>>;

private:
    auto take() -> std::optional<RunEvent>;
    auto wait(base::Duration patience) -> boost::asio::awaitable<void>;

    std::mutex m_mutex; //!< Also guards the timer, which is no safe object by itself.
    std::deque<RunEvent> m_events;
    boost::asio::steady_timer m_timer;
};

} // namespace nutmegplank::request::execution
