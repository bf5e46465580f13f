#pragma once

#include <array>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

#include "request/execution/internal/mailbox.h"

namespace nutmegplank::request::execution {

//! Attempts that are waited for, by id. What comes for others is late and dropped. Safe from any
//! thread.
class AttemptRegistry
{
public:
    auto add(const std::string &attemptId, const std::string &dispatcher,
             std::shared_ptr<Mailbox> mailbox) -> void;
    auto remove(const std::string &attemptId) -> void;

    //! Whether somebody waits for the attempt; then \a message was handed over.
    auto deliver(const std::string &attemptId, wire::Envelope message) -> bool;
    auto neverSent(const std::string &attemptId) -> void;

    //! Tells all attempts at \a dispatcher that it is gone.
    auto lose(const std::string &dispatcher) -> void;

    auto size() const -> std::size_t;

private:
    struct Entry
    {
        std::string dispatcher;
        std::uint64_t incarnation = 0; //!< Of the dispatcher's process, once it has answered.
        std::shared_ptr<Mailbox> mailbox;
    };

    //! Attempts at earlier processes under the same member id have ended with those.
    auto loseOlder(const std::string &dispatcher, std::uint64_t incarnation) -> void;

    mutable std::mutex m_mutex;
    std::unordered_map<std::string, Entry> m_entries;
    std::unordered_map<std::string, std::uint64_t> m_incarnations;
};

} // namespace nutmegplank::request::execution
