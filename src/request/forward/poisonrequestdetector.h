#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/timepoint.h"

namespace nutmegplank::request::forward {

//! The end of a backend server's process while it ran a request.
struct ProcessEnd
{
    //! Hash of the server's id, its incarnation and how many ends of it the machine saw before.
    std::uint64_t process = 0;
    base::TimePoint at {};
};

//! What a machine itself saw of a request.
struct RequestReport
{
    std::string fingerprint;
    std::vector<ProcessEnd> crashes;
    //! When a server last answered it, if it had been suspected before.
    std::optional<base::TimePoint> answeredAt;
};

//! Tracks requests that may crash every backend server that runs them, so that they are refused.
//! A request is refused after processes of several servers ended under it; each process counts
//! once, however many machines and copies of the request met its end. What each machine saw is sent
//! to the others with its heartbeats, and ends a fixed time after the machine saw it. Not
//! thread-safe.
class PoisonRequestDetector
{
public:
    //! \a onChange is called when there is something new to tell the other machines.
    explicit PoisonRequestDetector(std::function<void()> onChange = {});

    //! First 128 bits of a SHA-256 digest, in hexadecimal; equal for a request and its repetition.
    static auto fingerprintOf(std::string_view workspace, std::string_view path,
                              std::string_view body) -> std::string;

    //! Whether the crashes seen by all machines are enough to refuse the request.
    auto isPoison(const std::string &fingerprint, base::TimePoint now) const -> bool;
    //! The connection to a process of \a server broke while it ran the request. Counts once the
    //! process is known to have ended, and only if the request was not answered lately.
    auto recordLoss(const std::string &fingerprint, const std::string &server,
                    std::int64_t incarnation, base::TimePoint now) -> void;
    //! The process refuses connections, or another one took its place.
    auto noteProcessEnded(const std::string &server, std::int64_t incarnation, base::TimePoint now)
        -> void;
    //! The server answered a request sent at \a sentAt: what broke before did not end it.
    auto noteProcessAlive(const std::string &server, base::TimePoint sentAt) -> void;
    //! A server ran the request to its end, so it did not cause the crashes.
    auto recordAnswer(const std::string &fingerprint, base::TimePoint now) -> void;
    //! Takes in what another machine saw.
    auto hear(const RequestReport &report, base::TimePoint now) -> void;
    //! What this machine saw.
    auto reports(base::TimePoint now) const -> std::vector<RequestReport>;
    auto expire(base::TimePoint now) -> void;

private:
    struct Crash
    {
        base::TimePoint at {};
        bool seenHere = false;
    };

    struct Entry
    {
        std::map<std::uint64_t, Crash> crashes;    //!< By process.
        std::optional<base::TimePoint> answeredAt; //!< Seen by any machine.
        bool answeredHere = false;

        auto newest() const -> base::TimePoint;
    };

    //! A loss whose cause is not known yet.
    struct Loss
    {
        std::string fingerprint;
        std::string server;
        std::int64_t incarnation = 0;
        base::TimePoint at {};
    };

    struct Answer
    {
        std::uint64_t request = 0; //!< Hash of the fingerprint.
        base::TimePoint at {};
    };

    auto answerSlot(const std::string &fingerprint) const -> std::size_t;
    //! Whether this machine saw an answer to the request after \a time.
    auto wasAnsweredSince(const std::string &fingerprint, base::TimePoint time) const -> bool;
    auto countCrash(const Loss &loss, base::TimePoint now) -> void;
    static auto clearUntil(Entry &entry, base::TimePoint answeredAt) -> void;

    std::function<void()> m_onChange;
    std::unordered_map<std::string, Entry> m_entries; //!< By fingerprint.
    std::vector<Loss> m_losses;
    std::vector<Answer> m_answers; //!< Direct-mapped: newer requests replace older ones.
};

} // namespace nutmegplank::request::forward
