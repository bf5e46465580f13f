#include "connection/http/internal/httpsession.h"

#include <sys/socket.h>

#include <boost/asio/ssl.hpp>
#include <boost/beast/ssl.hpp>

#include "base/text.h"
#include "process/clock/clock.h"
#include "process/logging/logging.h"
#include "process/logging/taskfailure.h"

namespace nutmegplank::connection::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

constexpr auto USE_TUPLE = asio::as_tuple(asio::use_awaitable);
constexpr auto HTTP_1_1 = 11U;
constexpr auto FIRST_READ_BYTES = std::size_t(4096);
//! Space beside the head for parts of the body, and for a chunk's or trailer's line.
constexpr auto BODY_BUFFER_BYTES = std::size_t(64 * 1024);
//! From here on a body's buffer is reserved in whole, so that it is never copied.
constexpr auto WHOLE_FROM = std::size_t(32 * 1024);
constexpr auto MOST_RESERVED = std::uint64_t(64 * 1024 * 1024);
//! The allocator maps buffers from this size on by themselves; see mapLargeBuffers().
constexpr auto LAZY_BYTES = std::size_t(128 * 1024);
constexpr auto ROOM_CHECK = std::chrono::milliseconds(20);
constexpr auto ROOM_RETRY_SECONDS = "1";
//! A request's head may take this long also while new callers find no place.
constexpr auto SLOW_HEAD = std::chrono::seconds(1);
//! What a refused caller still sends is read for so long, and up to one more body.
constexpr auto DROP_TIME = std::chrono::seconds(5);
constexpr auto DROP_BUFFER_BYTES = std::size_t(8 * 1024);

auto statusForReadError(beast::error_code error) -> beast::http::status
{
    if (error == beast::http::error::body_limit)
        return beast::http::status::payload_too_large;
    if (error == beast::http::error::header_limit || error == beast::http::error::buffer_overflow)
        return beast::http::status::request_header_fields_too_large;
    return beast::http::status::bad_request;
}

//! A caller that is too slow or has left cannot be answered: Beast closes the socket on a timeout.
auto isProtocolError(beast::error_code error) -> bool
{
    const auto &category = beast::http::make_error_code(beast::http::error::bad_method).category();
    return error.category() == category && error != beast::http::error::end_of_stream
        && error != beast::http::error::partial_message;
}

template <typename Message>
auto copyHeaders(const Headers &headers, Message &message) -> void
{
    for (const auto &header : headers)
        message.insert(header.name, header.value);
}

auto addressOf(const std::string &peer) -> std::string
{
    return peer.substr(0, peer.rfind(':'));
}

auto microseconds(base::TimePoint time) -> std::int64_t
{
    return time.time_since_epoch().count();
}

//! Small buffers count with all that they may hold; of larger ones the system gives memory only for
//! what has arrived.
auto bytesHeldBy(const std::string &body) -> std::uint64_t
{
    return std::max(body.size(), std::min(body.capacity(), LAZY_BYTES));
}

} // namespace

auto SessionHost::makePlace(base::TimePoint now) -> bool
{
    const auto lock = std::lock_guard(mutex);
    const auto oldest = [this](std::atomic<std::int64_t> OpenConnection::*since) {
        OpenConnection *found = nullptr;
        for (auto &[session, connection] : open) {
            const auto time = (connection.*since).load();
            if (time != 0 && (found == nullptr || time < (found->*since).load()))
                found = &connection;
        }
        return found;
    };
    if (auto *idle = oldest(&OpenConnection::idleSince); idle != nullptr) {
        idle->idleSince = 0;
        idle->wake();
        note(TurnedAway::Idle);
        return true;
    }
    auto *slow = oldest(&OpenConnection::headSince);
    if (slow == nullptr || slow->headSince > microseconds(now - SLOW_HEAD))
        return false;
    slow->headSince = 0;
    slow->letGo();
    note(TurnedAway::SlowHead);
    return true;
}

template <typename Stream>
auto HttpSession<Stream>::registerWaker() -> void
{
    const auto weak = this->weak_from_this();
    const auto executor = tcp().get_executor();
    const auto lock = std::lock_guard(m_host->mutex);
    m_open = &m_host->open[this];
    m_open->wake = [weak, executor] {
        asio::post(executor, [weak] {
            const auto session = weak.lock();
            // A request that has arrived is answered, though nothing of it has been read yet.
            if (session != nullptr && session->m_idle && !session->hasUnreadBytes())
                session->tcp().cancel();
        });
    };
    m_open->letGo = [weak, executor] {
        asio::post(executor, [weak] {
            const auto session = weak.lock();
            if (session != nullptr && session->m_readingHead)
                session->tcp().cancel();
        });
    };
}

template <typename Stream>
auto HttpSession<Stream>::hasUnreadBytes() -> bool
{
    auto byte = char();
    return ::recv(tcp().socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

template <typename Stream>
auto HttpSession<Stream>::waitForFirstByte() -> asio::awaitable<bool>
{
    if (m_buffer.size() > 0)
        co_return true;
    if (m_host->draining && !hasUnreadBytes())
        co_return false;
    m_idle = true;
    m_open->idleSince = microseconds(process::clock::now());
    tcp().expires_after(m_host->limits.load()->idleTime);
    auto [error, bytes] =
        co_await m_stream.async_read_some(m_buffer.prepare(FIRST_READ_BYTES), USE_TUPLE);
    m_idle = false;
    m_open->idleSince = 0;
    m_buffer.commit(bytes);
    co_return !error;
}

template <typename Stream>
auto HttpSession<Stream>::onCallerGone(std::function<void()> hook) -> void
{
    m_onGone = std::move(hook);
    watchCaller();
}

template <typename Stream>
auto HttpSession<Stream>::watchCaller() -> void
{
    // The operation refers to the session's cancellation signal until it has completed, so it keeps
    // the session.
    const auto session = this->shared_from_this();
    tcp().socket().async_wait(
        asio::ip::tcp::socket::wait_read,
        asio::bind_cancellation_slot(m_stopWatch.slot(), [session](beast::error_code error) {
            if (error || !session->m_onGone)
                return;
            auto byte = char();
            const auto received =
                ::recv(session->tcp().socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            // Bytes of a next request: the caller is there, and there is nothing more to watch.
            if (received > 0)
                return;
            if (received < 0 && errno == EAGAIN) {
                session->watchCaller();
                return;
            }
            std::exchange(session->m_onGone, nullptr)();
        }));
}

template <typename Stream>
auto HttpSession<Stream>::stopWatching() -> void
{
    m_onGone = nullptr;
    m_stopWatch.emit(asio::cancellation_type::all);
}

template <typename Stream>
auto HttpSession<Stream>::toRequest(Parser &parser) -> Request
{
    auto message = parser.release();
    m_version = message.version();
    m_keepAlive = message.keep_alive();
    m_hasBody = message.method() != beast::http::verb::head;
    auto request = Request();
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message)
        request.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    request.body = std::move(message.body());
    request.peer = m_peer;
    return request;
}

template <typename Stream>
auto HttpSession<Stream>::readRequest() -> asio::awaitable<std::optional<Request>>
{
    auto parser = Parser();
    const auto limits = m_host->limits.load();
    parser.header_limit(limits->headerBytes);
    m_buffer.max_size(limits->headerBytes + BODY_BUFFER_BYTES);
    parser.body_limit(limits->bodyBytes);
    auto extensionBytes = std::size_t(0);
    auto onChunk = [&](std::uint64_t, beast::string_view extensions, beast::error_code &error) {
        extensionBytes += extensions.size();
        if (extensionBytes > limits->headerBytes)
            error = beast::http::error::header_limit;
    };
    parser.on_chunk_header(onChunk);
    tcp().expires_after(limits->headerTime);
    m_readingHead = true;
    m_open->headSince = microseconds(process::clock::now());
    auto [headError, headBytes] =
        co_await beast::http::async_read_header(m_stream, m_buffer, parser, USE_TUPLE);
    m_readingHead = false;
    m_open->headSince = 0;
    if (headError) {
        m_version = parser.get().version();
        m_dropsRest = headError == beast::http::error::body_limit;
        co_await refuse(headError);
        co_return std::nullopt;
    }
    if (beast::iequals(parser.get()[beast::http::field::expect], "100-continue")) {
        auto proceed =
            beast::http::response<beast::http::empty_body>(beast::http::status::continue_, 11);
        co_await beast::http::async_write(m_stream, proceed, USE_TUPLE);
    }
    tcp().expires_after(limits->bodyTime);
    m_readingBody = true;
    const auto bodyError = co_await readBody(parser, *limits);
    m_readingBody = false;
    if (!bodyError.has_value())
        co_return toRequest(parser);
    m_version = parser.get().version();
    m_dropsRest = true;
    // What the body held is free before the caller is told, who may never read the answer.
    parser.get().body() = std::string();
    m_place.close();
    if (*bodyError == asio::error::no_memory)
        co_await refuseForRoom();
    else
        co_await refuse(*bodyError);
    co_return std::nullopt;
}

template <typename Stream>
auto HttpSession<Stream>::readBody(Parser &parser, const ServerLimits &limits)
    -> asio::awaitable<std::optional<beast::error_code>>
{
    if (parser.is_done())
        co_return std::nullopt;
    m_stalled = false;
    if (m_host->bounds.intake != nullptr) {
        const auto weak = this->weak_from_this();
        const auto letGo = [weak, executor = tcp().get_executor()] {
            asio::post(executor, [weak] {
                const auto session = weak.lock();
                if (session == nullptr || !session->m_readingBody)
                    return;
                session->m_stalled = true;
                session->tcp().cancel();
            });
        };
        m_place = process::memory::BodyPlace(m_host->bounds.intake, addressOf(m_peer), letGo,
                                             process::clock::now());
    }
    const auto until = process::clock::now() + limits.bodyTime;
    parser.eager(true);
    auto &body = parser.get().body();
    auto parseError = beast::error_code(beast::http::error::need_more);
    while (true) {
        // Beast's own read goes on by itself between chunks, however many come.
        while (m_buffer.size() > 0 && !parser.is_done()) {
            parseError = {};
            m_buffer.consume(parser.put(m_buffer.data(), parseError));
            if (parseError)
                break;
        }
        if (parser.is_done())
            break;
        if (parseError && parseError != beast::http::error::need_more)
            co_return parseError;
        if (!parser.content_length().has_value() && body.size() > WHOLE_FROM)
            body.reserve(std::min(limits.bodyBytes, MOST_RESERVED));
        const auto hasRoom = co_await waitForRoom(bytesHeldBy(body) + m_buffer.capacity());
        if (!hasRoom)
            co_return asio::error::no_memory;
        const auto size = beast::read_size(m_buffer, BODY_BUFFER_BYTES);
        if (size == 0)
            co_return beast::http::error::buffer_overflow;
        tcp().expires_after(std::max(until - process::clock::now(), base::Duration(1)));
        auto [error, bytes] = co_await m_stream.async_read_some(m_buffer.prepare(size), USE_TUPLE);
        m_buffer.commit(bytes);
        if (m_stalled)
            co_return asio::error::no_memory;
        if (error)
            co_return error;
    }
    m_place.complete();
    co_return std::nullopt;
}

//! False if the body has to go, or no room for \a bytes becomes free in time.
template <typename Stream>
auto HttpSession<Stream>::waitForRoom(std::uint64_t bytes) -> asio::awaitable<bool>
{
    using process::memory::Room;
    auto room = m_place.resize(bytes, process::clock::now());
    while (room == Room::Wait && !m_stalled) {
        auto timer = asio::steady_timer(tcp().get_executor(), ROOM_CHECK);
        co_await timer.async_wait(USE_TUPLE);
        room = m_place.resize(bytes, process::clock::now());
    }
    co_return room == Room::Granted && !m_stalled;
}

template <typename Stream>
auto HttpSession<Stream>::refuse(beast::error_code error) -> asio::awaitable<void>
{
    if (!isProtocolError(error))
        co_return;
    m_keepAlive = false;
    m_answer = AnswerState::None;
    m_finished = false;
    if (error == beast::http::error::body_limit)
        m_host->note(TurnedAway::TooLarge);
    const auto status = static_cast<std::uint32_t>(statusForReadError(error));
    const auto body =
        base::concat(R"({"error":{"code":"malformed_request","ran":"not_run","message":")",
                     error.message(), R"("}})");
    co_await respond(jsonResponse(status, body));
}

template <typename Stream>
auto HttpSession<Stream>::refuseForRoom() -> asio::awaitable<void>
{
    m_keepAlive = false;
    m_host->note(m_stalled ? TurnedAway::Stalled : TurnedAway::NoRoom);
    auto response = jsonResponse(
        static_cast<std::uint32_t>(beast::http::status::service_unavailable),
        R"({"error":{"code":"no_room","ran":"not_run","message":"no room for the body"}})");
    response.headers.push_back({ "Retry-After", ROOM_RETRY_SECONDS });
    co_await respond(std::move(response));
}

template <typename Stream>
auto HttpSession<Stream>::dropRest() -> asio::awaitable<void>
{
    auto ignored = beast::error_code();
    tcp().socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_buffer = beast::flat_buffer();
    auto left = std::max<std::uint64_t>(m_host->limits.load()->bodyBytes, DROP_BUFFER_BYTES);
    auto buffer = std::array<char, DROP_BUFFER_BYTES>();
    tcp().expires_after(DROP_TIME);
    while (true) {
        auto [error, bytes] = co_await tcp().async_read_some(asio::buffer(buffer), USE_TUPLE);
        if (error || bytes >= left)
            co_return;
        left -= bytes;
    }
}

//! An exception of the handler ends this connection alone.
template <typename Stream>
auto HttpSession<Stream>::handle(Request request) -> asio::awaitable<void>
{
    auto failure = std::exception_ptr();
    try {
        co_await m_host->handler(std::move(request), *this);
        co_return;
    } catch (...) {
        failure = std::current_exception();
    }
    process::logging::error(
        "http.handler_failed",
        { { "peer", m_peer }, { "problem", process::logging::describeException(failure) } });
    m_finished = false;
    abort();
}

template <typename Stream>
auto HttpSession<Stream>::run() -> asio::awaitable<void>
{
    registerWaker();
    while (m_keepAlive) {
        // Not in the loop's condition: GCC 12 would await it whatever m_keepAlive is.
        const auto hasFirstByte = co_await waitForFirstByte();
        if (!hasFirstByte)
            break;
        m_answer = AnswerState::None;
        m_finished = false;
        ++m_host->exchanges;
        auto request = co_await readRequest();
        if (request.has_value())
            co_await handle(std::move(*request));
        stopWatching();
        m_place.close();
        if (m_buffer.size() == 0 && m_buffer.capacity() > FIRST_READ_BYTES)
            m_buffer = beast::flat_buffer();
        --m_host->exchanges;
        if (!request.has_value() || !m_finished)
            break;
    }
    if (m_dropsRest && m_finished)
        co_await dropRest();
    auto ignored = beast::error_code();
    tcp().socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

template <typename Stream>
auto HttpSession<Stream>::writeError(beast::error_code error) const -> absl::Status
{
    return base::makeError(absl::StatusCode::kUnavailable, error.message(),
                           { "http.answer", m_peer });
}

//! Ends the connection if an answer is not where it should be for the next \a step of it.
template <typename Stream>
auto HttpSession<Stream>::checkAnswer(AnswerState expected, std::string_view step) -> absl::Status
{
    if (m_answer == expected)
        return absl::OkStatus();
    if (m_answer == AnswerState::Aborted)
        return base::makeError(absl::StatusCode::kUnavailable, "the connection was broken",
                               { "http.answer", m_peer });
    process::logging::error("http.answer_out_of_order",
                            { { "peer", m_peer },
                              { "step", step },
                              { "state", base::nameOf(ANSWER_STATE_NAMES, m_answer) } });
    abort();
    return base::makeError(absl::StatusCode::kFailedPrecondition, "the answer is out of order",
                           { "http.answer", m_peer });
}

template <typename Stream>
auto HttpSession<Stream>::respond(Response response) -> asio::awaitable<absl::Status>
{
    const auto inOrder = checkAnswer(AnswerState::None, "respond");
    if (!inOrder.ok())
        co_return inOrder;
    if (m_host->draining || m_host->closing)
        m_keepAlive = false;
    auto message = beast::http::response<beast::http::string_body>(
        static_cast<beast::http::status>(response.status), m_version);
    copyHeaders(response.headers, message);
    message.keep_alive(m_keepAlive);
    message.body() = std::move(response.body);
    message.content_length(message.body().size());
    if (!m_hasBody)
        message.body().clear();
    m_answer = AnswerState::Ended;
    tcp().expires_after(m_host->limits.load()->writeTime);
    auto [error, bytes] = co_await beast::http::async_write(m_stream, message, USE_TUPLE);
    if (error)
        co_return writeError(error);
    m_finished = true;
    co_return absl::OkStatus();
}

template <typename Stream>
auto HttpSession<Stream>::startStream(Response head) -> asio::awaitable<absl::Status>
{
    const auto inOrder = checkAnswer(AnswerState::None, "start_stream");
    if (!inOrder.ok())
        co_return inOrder;
    auto message = beast::http::response<beast::http::empty_body>(
        static_cast<beast::http::status>(head.status), m_version);
    copyHeaders(head.headers, message);
    if (m_host->draining || m_host->closing)
        m_keepAlive = false;
    // Callers of HTTP/1.0 know no chunks: the answer ends with its connection.
    const auto chunked = m_version >= HTTP_1_1;
    m_keepAlive = m_keepAlive && chunked;
    message.keep_alive(m_keepAlive);
    message.chunked(chunked);
    m_answer = AnswerState::Open;
    auto serializer = beast::http::response_serializer<beast::http::empty_body>(message);
    tcp().expires_after(m_host->limits.load()->writeTime);
    auto [error, bytes] = co_await beast::http::async_write_header(m_stream, serializer, USE_TUPLE);
    co_return error ? writeError(error) : absl::OkStatus();
}

template <typename Stream>
auto HttpSession<Stream>::writeChunk(std::string_view data) -> asio::awaitable<absl::Status>
{
    const auto inOrder = checkAnswer(AnswerState::Open, "write_chunk");
    if (!inOrder.ok())
        co_return inOrder;
    if (data.empty())
        co_return absl::OkStatus();
    tcp().expires_after(m_host->limits.load()->writeTime);
    const auto plain = asio::const_buffer(data.data(), data.size());
    if (m_version < HTTP_1_1) {
        auto [error, bytes] = co_await asio::async_write(m_stream, plain, USE_TUPLE);
        co_return error ? writeError(error) : absl::OkStatus();
    }
    auto [error, bytes] =
        co_await asio::async_write(m_stream, beast::http::make_chunk(plain), USE_TUPLE);
    co_return error ? writeError(error) : absl::OkStatus();
}

template <typename Stream>
auto HttpSession<Stream>::endStream() -> asio::awaitable<absl::Status>
{
    const auto inOrder = checkAnswer(AnswerState::Open, "end_stream");
    if (!inOrder.ok())
        co_return inOrder;
    m_answer = AnswerState::Ended;
    if (m_version < HTTP_1_1) {
        m_finished = true;
        co_return absl::OkStatus();
    }
    tcp().expires_after(m_host->limits.load()->writeTime);
    auto [error, bytes] =
        co_await asio::async_write(m_stream, beast::http::make_chunk_last(), USE_TUPLE);
    if (error)
        co_return writeError(error);
    m_finished = true;
    co_return absl::OkStatus();
}

template <typename Stream>
auto HttpSession<Stream>::abort() -> void
{
    m_answer = AnswerState::Aborted;
    auto ignored = beast::error_code();
    tcp().socket().set_option(asio::socket_base::linger(true, 0), ignored);
    tcp().socket().close(ignored);
}

template class HttpSession<beast::tcp_stream>;
template class HttpSession<beast::ssl_stream<beast::tcp_stream>>;

} // namespace nutmegplank::connection::http
