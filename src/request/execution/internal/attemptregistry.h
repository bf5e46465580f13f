#pragma once

#include <array>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include "request/execution/internal/mailbox.h"

namespace nutmegplank::request::execution {

//! Routes messages to the runs that wait for an attempt, by attempt id. Messages for unknown
//! attempts are late and are dropped. Thread-safe.
class AttemptRegistry
{
public:
    auto add(const std::string &attemptId, const std::string &dispatcher,
             std::shared_ptr<Mailbox> mailbox) -> void;
    auto remove(const std::string &attemptId) -> void;

    //! Passes \a message to the run that waits for the attempt; returns false if there is none or
    //! if the message comes from another dispatcher.
    auto deliver(const std::string &attemptId, wire::Envelope message) -> bool;
    auto notifyNeverSent(const std::string &attemptId) -> void;

    //! Notifies all attempts at \a dispatcher that it is lost.
    auto notifyDispatcherLost(const std::string &dispatcher) -> void;

    auto size() const -> std::size_t;

private:
    struct Entry
    {
        std::string dispatcher;
        std::uint64_t incarnation = 0; //!< Of the dispatcher; 0 before it has sent a message.
        std::shared_ptr<Mailbox> mailbox;
    };

    //! Notifies the attempts at earlier processes of \a dispatcher that they are lost: a restart
    //! keeps the member id but raises the incarnation.
    auto notifyOlderIncarnationsLost(const std::string &dispatcher, std::uint64_t incarnation)
        -> void;

    mutable std::mutex m_mutex;
    std::unordered_map<std::string, Entry> m_entries;
    std::unordered_map<std::string, std::uint64_t> m_latestIncarnations;
};

} // namespace nutmegplank::request::execution
