#pragma once

#include <functional>
#include <memory>
#include <string>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ssl/context.hpp>

#include "base/enumtable.h"
#include "base/timepoint.h"
#include "connection/http/ihttpresponder.h"
#include "process/memory/bodyintake.h"

//! The HTTP server that every process of the product uses, over Boost.Beast.
namespace nutmegplank::connection::http {

//! What one caller may cost at most.
struct ServerLimits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 8 * 1024 * 1024;
    std::uint32_t connections = 4096;
    base::Duration headerTime =
        std::chrono::seconds(10); //!< From the first byte to the last header.
    base::Duration bodyTime = std::chrono::seconds(30);
    base::Duration idleTime = std::chrono::seconds(120); //!< Between two requests of a connection.
    base::Duration writeTime = std::chrono::seconds(30); //!< For each write of an answer.
};

//! Why a server let a caller go without having passed its request on.
enum class TurnedAway {
    TooLarge, //!< The body is over the limit.
    NoRoom,   //!< No memory for the body became free in time.
    Stalled,  //!< The body had stopped growing, and others needed its memory.
    Idle,     //!< The connection was between two requests, and new ones needed its place.
    SlowHead, //!< The same for one whose request's head was not complete.
    NoPlace,  //!< All connections were in use.
};

inline constexpr auto TURNED_AWAY_NAMES = base::EnumTable<TurnedAway, 6> { {
    { TurnedAway::TooLarge, "too_large" },
    { TurnedAway::NoRoom, "no_room" },
    { TurnedAway::Stalled, "stalled" },
    { TurnedAway::Idle, "idle" },
    { TurnedAway::SlowHead, "slow_head" },
    { TurnedAway::NoPlace, "no_place" },
} };

//! Callers that nobody controls: what all of them together may hold, and who hears of it.
struct CallerBounds
{
    std::shared_ptr<process::memory::BodyIntake> intake; //!< Null: bodies have no common bound.
    //! Of the system's buffer for what a connection has received; 0 = the system's default.
    int receiveBufferBytes = 0;
    //! Runs on any thread.
    std::function<void(TurnedAway)> onTurnedAway;
};

using HttpHandler = std::function<boost::asio::awaitable<void>(Request, IHttpResponder &)>;
//! Gives the TLS context for a new connection, so that certificates can be read again.
using TlsContextSource = std::function<std::shared_ptr<boost::asio::ssl::context>()>;

//! Accepts connections and runs a coroutine for each, on a strand of its own. One request of a
//! connection is read and answered before the next.
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &context, ServerLimits limits, HttpHandler handler,
               TlsContextSource tls = {}, CallerBounds bounds = {});
    ~HttpServer();

    //! Listens on \a address; port 0 picks a free one. Gives the bound port.
    auto listen(const std::string &address, std::uint16_t port) -> absl::StatusOr<std::uint16_t>;
    //! New limits, for connections and requests from now on.
    auto setLimits(ServerLimits limits) -> void;
    //! Goes on serving, but answers say that their connection will be closed.
    auto announceClose() -> void;
    //! Accepts no more connections; open ones answer what they have begun and are then closed.
    auto drain() -> void;
    //! Connections that are open now.
    auto connectionCount() const -> std::size_t;
    //! Exchanges whose answer has not been sent in whole.
    auto activeExchanges() const -> std::size_t;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace nutmegplank::connection::http
