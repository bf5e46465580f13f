#pragma once

#include <deque>
#include <functional>
#include <mutex>
#include <string>

#include <absl/status/status.h>
#include <nng/nng.h>

#include "connection/link/link.pb.h"

namespace nutmegplank::connection::link {

//! The sending side towards one peer: a push socket and a bounded queue before it, since nng's own
//! buffers give no back pressure. One message at a time is handed to nng.
class NngPeer
{
public:
    using DropHandler = std::function<void(const std::string &peer, wire::Envelope)>;

    NngPeer(std::string peer, DropHandler onDropped);
    ~NngPeer();
    NngPeer(const NngPeer &) = delete;
    auto operator=(const NngPeer &) -> NngPeer & = delete;

    auto send(wire::Envelope message) -> absl::Status;

private:
    static auto onSent(void *self) -> void;
    auto sendNext() -> void;

    std::string m_peer;
    DropHandler m_onDropped;
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
    nng_aio *m_aio = nullptr;
    std::mutex m_mutex;
    std::deque<wire::Envelope> m_queue;
    std::size_t m_queuedBytes = 0;
    bool m_sending = false;
    bool m_closed = false;
};

} // namespace nutmegplank::connection::link
