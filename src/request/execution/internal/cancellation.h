#pragma once

#include <mutex>
#include <optional>

#include "request/execution/internal/mailbox.h"
#include "request/execution/irequestrunner.h"

namespace nutmegplank::request::execution {

//! Carries the reason of a cut to the run's mailbox.
class Cancellation : public ICancellation
{
public:
    auto cancel(Refusal reason) -> void override;

    //! From now on cancel() wakes the run behind \a mailbox.
    auto attach(std::shared_ptr<Mailbox> mailbox) -> void;
    auto reason() const -> std::optional<Refusal>;

private:
    mutable std::mutex m_mutex;
    std::optional<Refusal> m_reason;
    std::shared_ptr<Mailbox> m_mailbox;
};

} // namespace nutmegplank::request::execution
