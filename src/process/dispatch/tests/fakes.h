#pragma once

#include <condition_variable>
#include <mutex>
#include <vector>

#include "connection/link/ilink.h"
#include "process/clock/clock.h"
#include "process/inventory/iinventory.h"
#include "process/membership/imembership.h"
#include "version/state/iplatformlog.h"

//! What surrounds a dispatcher, small and in memory.
namespace nutmegplank::process::dispatch {

//! Keeps what was sent.
class FakeLink : public connection::link::ILink
{
public:
    auto send(const std::string &, wire::Envelope message) -> absl::Status override
    {
        const auto lock = std::lock_guard(m_mutex);
        m_sent.push_back(std::move(message));
        m_changed.notify_all();
        return absl::OkStatus();
    }
    auto reset(const std::string &) -> void override { }
    auto setHandler(Handler) -> void override { }
    auto setDropHandler(DropHandler) -> void override { }
    auto localAddress() const -> std::string override { return "127.0.0.1:1"; }

    //! Waits for the outcome of an attempt and gives it; empty when none came in time.
    auto outcomeOf(const std::string &attemptId, std::chrono::seconds patience)
        -> std::optional<wire::Envelope>
    {
        auto found = std::optional<wire::Envelope>();
        auto lock = std::unique_lock(m_mutex);
        m_changed.wait_for(lock, patience, [&] {
            for (const auto &message : m_sent) {
                if (message.done().attempt_id() == attemptId
                    || message.failed().attempt_id() == attemptId)
                    found = message;
            }
            return found.has_value();
        });
        return found;
    }
    //! All messages about an attempt, in order.
    auto messagesOf(const std::string &attemptId) -> std::vector<wire::Envelope>
    {
        auto found = std::vector<wire::Envelope>();
        const auto lock = std::lock_guard(m_mutex);
        for (const auto &message : m_sent) {
            if (message.accepted().attempt_id() == attemptId
                || message.started().attempt_id() == attemptId
                || message.chunk().attempt_id() == attemptId
                || message.done().attempt_id() == attemptId
                || message.failed().attempt_id() == attemptId)
                found.push_back(message);
        }
        return found;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<wire::Envelope> m_sent;
};

//! One dispatcher alone.
class FakeMembership : public membership::IMembership
{
public:
    FakeMembership()
    {
        m_self.id = "dispatcher-0";
        m_self.role = membership::Role::Dispatcher;
        auto view = membership::MemberView();
        view.members.push_back(m_self);
        m_view = std::make_shared<membership::MemberView>(view);
    }
    auto view() const -> membership::MemberViewPtr override { return m_view; }
    auto self() const -> membership::Member override { return m_self; }
    auto setProgress(membership::OwnProgress) -> void override { }
    auto leave() -> void override { }
    auto hearsMajority(base::TimePoint, base::Duration) const -> bool override { return hears; }
    auto confirmsConfiguration(std::uint64_t, base::TimePoint, base::Duration) const
        -> bool override
    {
        return hears;
    }
    auto onChange(std::function<void(membership::MemberViewPtr)>) -> void override { }

    std::atomic<bool> hears = true;

private:
    membership::Member m_self;
    membership::MemberViewPtr m_view;
};

class FakeInventory : public inventory::IInventory
{
public:
    auto view() const -> inventory::ServerViewPtr override
    {
        const auto lock = std::lock_guard(m_mutex);
        return m_view;
    }
    auto onChange(std::function<void(inventory::ServerViewPtr)>) -> void override { }
    auto set(std::vector<inventory::BackendServer> servers) -> void
    {
        const auto lock = std::lock_guard(m_mutex);
        auto view = inventory::ServerView();
        view.servers = std::move(servers);
        m_view = std::make_shared<inventory::ServerView>(std::move(view));
    }

private:
    mutable std::mutex m_mutex;
    inventory::ServerViewPtr m_view = std::make_shared<inventory::ServerView>();
};

class FakeLog : public version::state::IPlatformLog
{
public:
    auto state() const -> version::state::LogStatePtr override
    {
        const auto lock = std::lock_guard(m_mutex);
        return m_state;
    }
    auto lastConfirmed() const -> base::TimePoint override { return clock::now(); }
    auto append(version::state::RecordKind, std::string, boost::json::object, base::Duration)
        -> boost::asio::awaitable<absl::StatusOr<std::uint64_t>> override
    {
        co_return absl::UnimplementedError("not needed");
    }
    auto onChange(std::function<void(version::state::LogStatePtr)>) -> void override { }
    auto set(version::configuration::Configuration configuration) -> void
    {
        const auto lock = std::lock_guard(m_mutex);
        auto state = version::state::LogState();
        state.configuration =
            std::make_shared<version::configuration::Configuration>(std::move(configuration));
        m_state = std::make_shared<version::state::LogState>(std::move(state));
    }

private:
    mutable std::mutex m_mutex;
    version::state::LogStatePtr m_state = std::make_shared<version::state::LogState>();
};

} // namespace nutmegplank::process::dispatch
