#pragma once

#include <mutex>
#include <optional>

#include "request/execution/internal/mailbox.h"
#include "request/execution/irequestrunner.h"

namespace nutmegplank::request::execution {

//! Keeps the reason of a cancellation and wakes the run through its mailbox.
class Cancellation : public ICancellation
{
public:
    auto cancel(Refusal reason) -> void override;

    //! Sets the mailbox that cancel() wakes; nullptr detaches it.
    auto attach(std::shared_ptr<Mailbox> mailbox) -> void;
    auto reason() const -> std::optional<Refusal>;

private:
    mutable std::mutex m_mutex;
    std::optional<Refusal> m_reason;
    std::shared_ptr<Mailbox> m_mailbox;
};

} // namespace nutmegplank::request::execution
