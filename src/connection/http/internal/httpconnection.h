#pragma once

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include "connection/http/ihttpconnection.h"

namespace nutmegplank::connection::http {

//! IHttpConnection over \a Stream (plain TCP or TLS).
template <typename Stream>
class HttpConnection : public IHttpConnection
{
public:
    HttpConnection(Stream stream, std::string peer, std::uint64_t bodyLimit)
        : m_stream(std::move(stream))
        , m_peer(std::move(peer))
        , m_bodyLimit(bodyLimit)
    { }

    auto send(const Request &request, base::Duration timeout, std::function<void()> onFirstByte)
        -> boost::asio::awaitable<absl::Status> override;
    auto readHead(base::Duration timeout)
        -> boost::asio::awaitable<absl::StatusOr<Response>> override;
    auto readBody(base::Duration timeout)
        -> boost::asio::awaitable<absl::StatusOr<std::optional<std::string>>> override;
    auto reusable() const -> bool override { return m_reusable; }
    auto quiet() -> bool override;
    auto keepAlive() const -> base::Duration override { return m_keepAlive; }
    auto close() -> void override;
    auto reset() -> void override;

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    //! Reads one head, final or interim, within the time set for the stream.
    auto parseHead() -> boost::asio::awaitable<absl::Status>;
    auto errorAt(std::string_view step, boost::beast::error_code error) const -> absl::Status;
    auto unusableHead(std::string_view problem) const -> absl::Status;
    auto tcp() -> boost::beast::tcp_stream & { return boost::beast::get_lowest_layer(m_stream); }

    Stream m_stream;
    std::string m_peer;
    std::uint64_t m_bodyLimit;
    //! Limits what a peer can make this process keep before a head, chunk or trailer is complete.
    static constexpr auto MAX_BUFFERED_BYTES = std::size_t(64 * 1024);

    boost::beast::flat_buffer m_buffer { MAX_BUFFERED_BYTES };
    std::unique_ptr<Parser> m_parser;
    bool m_headRequest = false;
    bool m_reusable = true;
    base::Duration m_keepAlive { 0 };
};

} // namespace nutmegplank::connection::http
