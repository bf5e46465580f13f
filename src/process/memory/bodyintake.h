#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "base/timepoint.h"
#include "process/memory/heldbytes.h"

namespace nutmegplank::process::memory {

//! What the bodies of all requests that a process reads or works on may take.
struct IntakeLimits
{
    std::uint64_t bytes = 0;
    std::uint64_t smallBody = 128 * 1024; //!< Bytes; what is larger leaves SMALL_SHARE free.
    base::Duration window = std::chrono::seconds(1); //!< A body's growth is judged over this.
    double leastGrowth = 0.05; //!< Of what a body holds, in a window; below that it is stalled.
    base::Duration patience = std::chrono::seconds(2); //!< Longest wait of a body for room, in sum.
    std::size_t waiting = 64;                          //!< Bodies that may wait at a time.
};

enum class Room { Granted, Wait, Refused };

//! Divides memory among the bodies of requests. In want of room, bodies that have stalled are let
//! go, those first that come from the address that holds the most; a body that finds no stalled one
//! waits. Small bodies have a part that large ones never take. Safe for several threads.
class BodyIntake
{
public:
    using Id = std::uint64_t;
    //! Part of all bytes that only small bodies may take.
    static constexpr auto SMALL_SHARE = 0.125;

    explicit BodyIntake(IntakeLimits limits);

    //! \a letGo runs under a lock, at most once; it must only pass the message on. \a address: of
    //! the caller, without its port.
    auto open(std::string address, std::function<void()> letGo, base::TimePoint now) -> Id;
    //! The body holds \a bytes in all. On Room::Wait the caller asks again, and reads nothing more
    //! until then; on Room::Refused it frees the body and closes it here.
    auto resize(Id id, std::uint64_t bytes, base::TimePoint now) -> Room;
    //! The body has arrived in whole and is worked on: it is not let go any more.
    auto complete(Id id) -> void;
    auto close(Id id) -> void;
    //! Applies to what is asked for from now on.
    auto setBytes(std::uint64_t bytes) -> void;

    auto held() const -> std::uint64_t { return m_all->held(); }

private:
    //! What a body held at the end of a short time after \a at.
    struct Mark
    {
        base::TimePoint at;
        std::uint64_t bytes = 0;
    };

    struct Body
    {
        std::string address;
        std::function<void()> letGo;
        HeldBytes all;
        HeldBytes large;
        base::TimePoint openedAt {};
        std::deque<Mark> history; //!< Of somewhat more than a window.
        std::optional<base::TimePoint> waitingSince;
        base::Duration waited {}; //!< Before waitingSince.
        bool complete = false;
        bool leaving = false;
    };

    auto take(Body &body, std::uint64_t bytes) const -> bool;
    auto noteSize(Body &body, base::TimePoint now) const -> void;
    //! In the last window, as a share of what the body holds; nullopt for a younger body.
    auto growthOf(const Body &body, base::TimePoint now) const -> std::optional<double>;
    auto makeRoom(std::uint64_t bytes, bool large, base::TimePoint now) -> void;
    auto findStalled(bool large, base::TimePoint now) -> Body *;
    auto stopWaiting(Body &body) -> void;

    mutable std::mutex m_mutex;
    IntakeLimits m_limits;
    std::shared_ptr<ByteBudget> m_all;
    std::shared_ptr<ByteBudget> m_large;
    std::map<Id, Body> m_bodies;
    std::size_t m_waiting = 0;
    Id m_nextId = 1;
};

//! One body's place in a BodyIntake; leaves it when it ends. Without an intake all is granted.
class BodyPlace
{
public:
    BodyPlace() = default;
    BodyPlace(std::shared_ptr<BodyIntake> intake, std::string address, std::function<void()> letGo,
              base::TimePoint now);
    ~BodyPlace() { close(); }
    BodyPlace(const BodyPlace &) = delete;
    auto operator=(const BodyPlace &) -> BodyPlace & = delete;
    BodyPlace(BodyPlace &&other) noexcept;
    auto operator=(BodyPlace &&other) noexcept -> BodyPlace &;

    auto resize(std::uint64_t bytes, base::TimePoint now) -> Room;
    auto complete() -> void;
    auto close() -> void;

private:
    std::shared_ptr<BodyIntake> m_intake;
    BodyIntake::Id m_id = 0;
};

} // namespace nutmegplank::process::memory
