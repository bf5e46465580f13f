#include "connection/link/internal/nnglink.h"

#include <boost/asio/post.hpp>
#include <nng/protocol/pipeline0/pull.h>

#include "base/status.h"
#include "base/text.h"

namespace nutmegplank::connection::link {

namespace {

constexpr auto MAX_MESSAGE_BYTES = std::size_t(16) << 20;

} // namespace

NngLink::NngLink(boost::asio::any_io_executor executor, NngLinkOptions options)
    : m_executor(std::move(executor))
    , m_options(std::move(options))
    , m_handlers(std::make_shared<Handlers>())
{ }

NngLink::~NngLink()
{
    if (m_aio != nullptr) {
        nng_aio_stop(m_aio);
        nng_aio_free(m_aio);
    }
    nng_close(m_socket);
}

auto NngLink::open() -> absl::Status
{
    nng_pull0_open(&m_socket);
    nng_socket_set_size(m_socket, NNG_OPT_RECVMAXSZ, MAX_MESSAGE_BYTES);
    auto listener = nng_listener();
    const auto url = base::concat("tcp://", m_options.address, ":", m_options.port);
    const auto failure = nng_listen(m_socket, url.c_str(), &listener, 0);
    if (failure != 0)
        return base::makeError(absl::StatusCode::kUnavailable, nng_strerror(failure),
                               { "link.listen", url });
    auto port = int(m_options.port);
    nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port);
    m_localAddress = m_options.advertised.empty() ? base::concat(m_options.address, ":", port)
                                                  : m_options.advertised;
    nng_aio_alloc(&m_aio, &NngLink::onReceived, this);
    nng_recv_aio(m_socket, m_aio);
    return absl::OkStatus();
}

auto NngLink::onReceived(void *self) -> void
{
    auto *link = static_cast<NngLink *>(self);
    const auto result = nng_aio_result(link->m_aio);
    if (result == NNG_ECLOSED || result == NNG_ECANCELED)
        return;
    if (result == 0) {
        auto *message = nng_aio_get_msg(link->m_aio);
        auto envelope = wire::Envelope();
        const auto size = static_cast<int>(nng_msg_len(message));
        const auto parsed = envelope.ParseFromArray(nng_msg_body(message), size);
        nng_msg_free(message);
        if (parsed) {
            boost::asio::post(
                link->m_executor,
                [handlers = link->m_handlers, received = std::move(envelope)]() mutable {
                    auto handler = Handler();
                    {
                        const auto lock = std::lock_guard(handlers->mutex);
                        handler = handlers->onMessage;
                    }
                    if (handler)
                        handler(std::move(received));
                });
        }
    }
    nng_recv_aio(link->m_socket, link->m_aio);
}

auto NngLink::peerFor(const std::string &peer) -> std::shared_ptr<NngPeer>
{
    const auto lock = std::lock_guard(m_mutex);
    auto &found = m_peers[peer];
    if (found == nullptr) {
        const auto onDropped = [executor = m_executor, handlers = m_handlers](
                                   const std::string &name, wire::Envelope message) {
            boost::asio::post(executor, [handlers, name, dropped = std::move(message)]() mutable {
                auto handler = DropHandler();
                {
                    const auto guard = std::lock_guard(handlers->mutex);
                    handler = handlers->onDropped;
                }
                if (handler)
                    handler(name, std::move(dropped));
            });
        };
        found = std::make_shared<NngPeer>(peer, onDropped);
    }
    return found;
}

auto NngLink::send(const std::string &peer, wire::Envelope message) -> absl::Status
{
    message.set_from(m_options.memberId);
    message.set_incarnation(m_options.incarnation);
    message.set_reply_link(m_localAddress);
    return peerFor(peer)->send(std::move(message));
}

auto NngLink::reset(const std::string &peer) -> void
{
    auto old = std::shared_ptr<NngPeer>();
    const auto lock = std::lock_guard(m_mutex);
    const auto found = m_peers.find(peer);
    if (found == m_peers.end())
        return;
    old = std::move(found->second);
    m_peers.erase(found);
    // nng waits for callbacks when it closes a socket, so that must not happen under a caller's
    // locks.
    boost::asio::post(m_executor, [closing = std::move(old)]() mutable { closing.reset(); });
}

auto NngLink::setHandler(Handler handler) -> void
{
    const auto lock = std::lock_guard(m_handlers->mutex);
    m_handlers->onMessage = std::move(handler);
}

auto NngLink::setDropHandler(DropHandler handler) -> void
{
    const auto lock = std::lock_guard(m_handlers->mutex);
    m_handlers->onDropped = std::move(handler);
}

auto makeNngLink(boost::asio::any_io_executor executor, NngLinkOptions options)
    -> absl::StatusOr<std::unique_ptr<ILink>>
{
    auto link = std::make_unique<NngLink>(std::move(executor), std::move(options));
    const auto opened = link->open();
    if (!opened.ok())
        return opened;
    return link;
}

} // namespace nutmegplank::connection::link
