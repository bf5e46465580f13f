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

//! An event for a run.
struct RunEvent
{
    enum class Kind {
        Message,        //!< From the dispatcher.
        NeverSent,      //!< The attempt certainly never left this process.
        DispatcherLost, //!< The dispatcher is dead or has restarted.
        Cancelled,      //!< The reason is in the Cancellation.
    };
    Kind kind = Kind::Message;
    std::string attemptId;
    wire::Envelope message;
};

//! Event queue of one run: any thread may push, only the run's coroutine pops.
class Mailbox
{
public:
    explicit Mailbox(const boost::asio::any_io_executor &executor);

    auto push(RunEvent event) -> void;

    //! Returns the next event, or nullopt if none arrives within \a timeout.
    auto pop(base::Duration timeout) -> boost::asio::awaitable<std::optional<RunEvent>>;

private:
    auto tryPop() -> std::optional<RunEvent>;
    auto waitForEvent(base::Duration timeout) -> boost::asio::awaitable<void>;

    std::mutex m_mutex; //!< Also guards the timer, which is not thread-safe itself.
    std::deque<RunEvent> m_events;
    boost::asio::steady_timer m_timer;
};

} // namespace nutmegplank::request::execution
