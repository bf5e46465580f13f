#pragma once

#include <boost/asio.hpp>
#include <boost/beast.hpp>

#include "base/status.h"
#include "connection/http/httpserver.h"

namespace nutmegplank::connection::http {

//! What the server may ask of an open connection, from any thread.
struct OpenConnection
{
    std::function<void()> wake;                //!< Ends its wait for a request.
    std::function<void()> letGo;               //!< Ends it if its request's head is not complete.
    std::atomic<std::int64_t> idleSince { 0 }; //!< Microseconds of the boot clock; 0 if not idle.
    std::atomic<std::int64_t> headSince { 0 }; //!< The same while a head is being read.
};

//! Shared by the server and its sessions.
struct SessionHost
{
    CallerBounds bounds;
    std::atomic<std::shared_ptr<const ServerLimits>> limits;
    HttpHandler handler;
    std::atomic<bool> closing { false }; //!< Answers say "Connection: close".
    std::atomic<bool> draining { false };
    std::atomic<std::size_t> connections { 0 };
    std::atomic<std::size_t> exchanges { 0 };

    //! Ends the wait of all connections that are between two requests.
    auto wakeIdle() -> void
    {
        const auto lock = std::lock_guard(mutex);
        for (const auto &[session, connection] : open)
            connection.wake();
    }

    //! Ends the connection that has been idle longest, or else the one that has been at its
    //! request's head longest. False if all others are at work.
    auto makePlace(base::TimePoint now) -> bool;

    auto note(TurnedAway reason) const -> void
    {
        if (bounds.onTurnedAway)
            bounds.onTurnedAway(reason);
    }

    std::mutex mutex;
    std::unordered_map<const void *, OpenConnection> open; //!< By session.
};

//! How far the answer to the current request is.
enum class AnswerState {
    None,
    Open, //!< Its head was written and parts of its body may follow.
    Ended,
    Aborted, //!< The connection is broken.
};

inline constexpr auto ANSWER_STATE_NAMES = base::EnumTable<AnswerState, 4> { {
    { AnswerState::None, "none" },
    { AnswerState::Open, "open" },
    { AnswerState::Ended, "ended" },
    { AnswerState::Aborted, "aborted" },
} };

//! One connection of a caller over \a Stream (plain TCP or TLS).
template <typename Stream>
class HttpSession : public IHttpResponder, public std::enable_shared_from_this<HttpSession<Stream>>
{
public:
    HttpSession(std::shared_ptr<SessionHost> host, Stream stream, std::string peer)
        : m_host(std::move(host))
        , m_stream(std::move(stream))
        , m_peer(std::move(peer))
    {
        ++m_host->connections;
    }
    ~HttpSession() override
    {
        --m_host->connections;
        const auto lock = std::lock_guard(m_host->mutex);
        m_host->open.erase(this);
    }
    HttpSession(const HttpSession &) = delete;
    auto operator=(const HttpSession &) -> HttpSession & = delete;

    //! Serves requests until the caller leaves, errs or the server drains.
    auto run() -> boost::asio::awaitable<void>;
    auto respond(Response response) -> boost::asio::awaitable<absl::Status> override;
    auto startStream(Response head) -> boost::asio::awaitable<absl::Status> override;
    auto writeChunk(std::string_view data) -> boost::asio::awaitable<absl::Status> override;
    auto endStream() -> boost::asio::awaitable<absl::Status> override;
    auto abort() -> void override;
    auto started() const -> bool override { return m_answer != AnswerState::None; }
    auto onCallerGone(std::function<void()> hook) -> void override;

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    auto handle(Request request) -> boost::asio::awaitable<void>;
    auto readRequest() -> boost::asio::awaitable<std::optional<Request>>;
    //! Reads the body; nullopt on success, or why the caller was turned away or left.
    auto readBody(Parser &parser, const ServerLimits &limits)
        -> boost::asio::awaitable<std::optional<boost::beast::error_code>>;
    auto waitForRoom(std::uint64_t bytes) -> boost::asio::awaitable<bool>;
    auto refuse(boost::beast::error_code error) -> boost::asio::awaitable<void>;
    auto refuseForRoom() -> boost::asio::awaitable<void>;
    //! Reads what a refused caller still sends, so that it sees the answer.
    auto dropRest() -> boost::asio::awaitable<void>;
    auto waitForFirstByte() -> boost::asio::awaitable<bool>;
    //! Whether the caller has sent bytes that have not been read yet.
    auto hasUnreadBytes() -> bool;
    auto registerWaker() -> void;
    auto watchCaller() -> void;
    auto stopWatching() -> void;
    auto toRequest(Parser &parser) -> Request;
    auto checkAnswer(AnswerState expected, std::string_view step) -> absl::Status;
    auto writeError(boost::beast::error_code error) const -> absl::Status;
    auto tcp() -> boost::beast::tcp_stream & { return boost::beast::get_lowest_layer(m_stream); }

    std::shared_ptr<SessionHost> m_host;
    Stream m_stream;
    std::string m_peer;
    boost::beast::flat_buffer m_buffer;
    unsigned m_version = 11;
    bool m_keepAlive = true;
    AnswerState m_answer = AnswerState::None;
    bool m_finished = false;
    bool m_hasBody = true;
    bool m_idle = false;
    bool m_readingHead = false;
    bool m_readingBody = false;
    bool m_stalled = false;   //!< Others need the memory of the body that is being read.
    bool m_dropsRest = false; //!< The caller may still send the body of a refused request.
    process::memory::BodyPlace m_place;
    OpenConnection *m_open = nullptr;
    std::function<void()> m_onGone;
    boost::asio::cancellation_signal m_stopWatch;
};

} // namespace nutmegplank::connection::http
