#pragma once

#include <functional>
#include <string>

#include <absl/status/status.h>

#include "connection/link/link.pb.h"

//! Messages between processes of the product.
namespace nutmegplank::connection::link {

//! One-way, unordered between peers, in order to one peer for as long as its connection lives. A
//! message may be lost when a connection breaks; who needs an answer waits for it with a deadline.
class ILink
{
public:
    using Handler = std::function<void(wire::Envelope)>;
    using DropHandler = std::function<void(const std::string &peer, wire::Envelope)>;

    virtual ~ILink() = default;

    //! Queues \a message for the process whose link is at \a peer ("address:port"). Never blocks;
    //! ResourceExhausted when the peer's bounded queue is full, and then nothing was sent.
    virtual auto send(const std::string &peer, wire::Envelope message) -> absl::Status = 0;
    //! Forgets what is queued for \a peer and dials it anew at the next send.
    virtual auto reset(const std::string &peer) -> void = 0;
    //! Runs for each received message, on the executor given at construction.
    virtual auto setHandler(Handler handler) -> void = 0;
    //! Runs for each queued message that certainly never left this process.
    virtual auto setDropHandler(DropHandler handler) -> void = 0;
    //! "address:port" that peers reach this process at.
    virtual auto localAddress() const -> std::string = 0;
};

} // namespace nutmegplank::connection::link
