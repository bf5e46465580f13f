#include "connection/link/internal/nngpeer.h"

#include <nng/protocol/pipeline0/push.h>

#include "base/status.h"

namespace nutmegplank::connection::link {

namespace {

constexpr auto QUEUE_MESSAGES = std::size_t(8192);
constexpr auto QUEUE_BYTES = std::size_t(16) << 20;
constexpr auto SEND_TIMEOUT_MS = nng_duration(1000);
constexpr auto RECONNECT_FIRST_MS = nng_duration(20);
constexpr auto RECONNECT_LONGEST_MS = nng_duration(500);

} // namespace

NngPeer::NngPeer(std::string peer, DropHandler onDropped)
    : m_peer(std::move(peer))
    , m_onDropped(std::move(onDropped))
{
    nng_push0_open(&m_socket);
    nng_socket_set_ms(m_socket, NNG_OPT_RECONNMINT, RECONNECT_FIRST_MS);
    nng_socket_set_ms(m_socket, NNG_OPT_RECONNMAXT, RECONNECT_LONGEST_MS);
    nng_aio_alloc(&m_aio, &NngPeer::onSent, this);
    nng_aio_set_timeout(m_aio, SEND_TIMEOUT_MS);
    nng_dial(m_socket, ("tcp://" + m_peer).c_str(), nullptr, NNG_FLAG_NONBLOCK);
}

NngPeer::~NngPeer()
{
    {
        const auto lock = std::lock_guard(m_mutex);
        m_closed = true;
    }
    nng_aio_stop(m_aio);
    nng_aio_free(m_aio);
    nng_close(m_socket);
}

auto NngPeer::send(wire::Envelope message) -> absl::Status
{
    const auto bytes = message.ByteSizeLong();
    const auto lock = std::lock_guard(m_mutex);
    if (m_queue.size() >= QUEUE_MESSAGES || m_queuedBytes + bytes > QUEUE_BYTES)
        return base::makeError(absl::StatusCode::kResourceExhausted, "the peer's queue is full",
                               { "link.send", m_peer });
    m_queue.push_back(std::move(message));
    m_queuedBytes += bytes;
    if (!m_sending)
        sendNext();
    return absl::OkStatus();
}

auto NngPeer::sendNext() -> void
{
    if (m_queue.empty() || m_closed) {
        m_sending = false;
        return;
    }
    const auto text = m_queue.front().SerializeAsString();
    nng_msg *message = nullptr;
    nng_msg_alloc(&message, 0);
    nng_msg_append(message, text.data(), text.size());
    nng_aio_set_msg(m_aio, message);
    m_sending = true;
    nng_send_aio(m_socket, m_aio);
}

auto NngPeer::onSent(void *self) -> void
{
    auto *peer = static_cast<NngPeer *>(self);
    const auto failed = nng_aio_result(peer->m_aio) != 0;
    if (failed)
        nng_msg_free(nng_aio_get_msg(peer->m_aio));
    auto sent = wire::Envelope();
    {
        const auto lock = std::lock_guard(peer->m_mutex);
        sent = std::move(peer->m_queue.front());
        peer->m_queue.pop_front();
        peer->m_queuedBytes -= sent.ByteSizeLong();
        peer->sendNext();
    }
    if (failed)
        peer->m_onDropped(peer->m_peer, std::move(sent));
}

} // namespace nutmegplank::connection::link
