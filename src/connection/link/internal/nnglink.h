#pragma once

#include <map>
#include <mutex>

#include <boost/asio/any_io_executor.hpp>
#include <nng/nng.h>

#include "connection/link/internal/nngpeer.h"
#include "connection/link/nnglink.h"

namespace nutmegplank::connection::link {

//! ILink over nng. No decision runs on an nng thread: its callbacks post to the executor.
class NngLink : public ILink
{
public:
    NngLink(boost::asio::any_io_executor executor, NngLinkOptions options);
    ~NngLink() override;

    auto open() -> absl::Status;
    auto send(const std::string &peer, wire::Envelope message) -> absl::Status override;
    auto reset(const std::string &peer) -> void override;
    auto setHandler(Handler handler) -> void override;
    auto setDropHandler(DropHandler handler) -> void override;
    auto localAddress() const -> std::string override { return m_localAddress; }

private:
    struct Handlers
    {
        std::mutex mutex;
        Handler onMessage;
        DropHandler onDropped;
    };

    static auto onReceived(void *self) -> void;
    auto peerFor(const std::string &peer) -> std::shared_ptr<NngPeer>;

    boost::asio::any_io_executor m_executor;
    NngLinkOptions m_options;
    std::string m_localAddress;
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
    nng_aio *m_aio = nullptr;
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<NngPeer>> m_peers;
    std::shared_ptr<Handlers> m_handlers;
};

} // namespace nutmegplank::connection::link
