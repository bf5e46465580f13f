#include "connection/http/internal/httpsession.h"

#include <sys/socket.h>

#include <boost/asio/ssl.hpp>
#include <boost/beast/ssl.hpp>

#include "base/text.h"
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

} // namespace

template <typename Stream>
auto HttpSession<Stream>::registerWaker() -> void
{
    const auto weak = this->weak_from_this();
    const auto executor = tcp().get_executor();
    const auto lock = std::lock_guard(m_host->mutex);
    m_host->wakers[this] = [weak, executor] {
        asio::post(executor, [weak] {
            const auto session = weak.lock();
            // A request that has arrived is answered, though nothing of it has been read yet.
            if (session != nullptr && session->m_idle && !session->hasUnreadBytes())
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
    tcp().expires_after(m_host->limits.load()->idleTime);
    auto [error, bytes] =
        co_await m_stream.async_read_some(m_buffer.prepare(FIRST_READ_BYTES), USE_TUPLE);
    m_idle = false;
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
    tcp().expires_after(limits->headerTime);
    auto [headError, headBytes] =
        co_await beast::http::async_read_header(m_stream, m_buffer, parser, USE_TUPLE);
    if (headError) {
        co_await refuse(headError);
        co_return std::nullopt;
    }
    if (beast::iequals(parser.get()[beast::http::field::expect], "100-continue")) {
        auto proceed =
            beast::http::response<beast::http::empty_body>(beast::http::status::continue_, 11);
        co_await beast::http::async_write(m_stream, proceed, USE_TUPLE);
    }
    tcp().expires_after(limits->bodyTime);
    auto [bodyError, bodyBytes] =
        co_await beast::http::async_read(m_stream, m_buffer, parser, USE_TUPLE);
    if (bodyError) {
        co_await refuse(bodyError);
        co_return std::nullopt;
    }
    co_return toRequest(parser);
}

template <typename Stream>
auto HttpSession<Stream>::refuse(beast::error_code error) -> asio::awaitable<void>
{
    if (!isProtocolError(error))
        co_return;
    m_keepAlive = false;
    m_started = false;
    m_finished = false;
    const auto status = static_cast<std::uint32_t>(statusForReadError(error));
    const auto body =
        base::concat(R"({"error":{"code":"malformed_request","ran":"not_run","message":")",
                     error.message(), R"("}})");
    co_await respond(jsonResponse(status, body));
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
        m_started = false;
        m_finished = false;
        ++m_host->exchanges;
        auto request = co_await readRequest();
        if (request.has_value())
            co_await handle(std::move(*request));
        stopWatching();
        --m_host->exchanges;
        if (!request.has_value() || !m_finished)
            break;
    }
    auto ignored = beast::error_code();
    tcp().socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

template <typename Stream>
auto HttpSession<Stream>::writeError(beast::error_code error) const -> absl::Status
{
    return base::makeError(absl::StatusCode::kUnavailable, error.message(),
                           { "http.answer", m_peer });
}

template <typename Stream>
auto HttpSession<Stream>::respond(Response response) -> asio::awaitable<absl::Status>
{
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
    m_started = true;
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
    m_started = true;
    auto serializer = beast::http::response_serializer<beast::http::empty_body>(message);
    tcp().expires_after(m_host->limits.load()->writeTime);
    auto [error, bytes] = co_await beast::http::async_write_header(m_stream, serializer, USE_TUPLE);
    co_return error ? writeError(error) : absl::OkStatus();
}

template <typename Stream>
auto HttpSession<Stream>::writeChunk(std::string_view data) -> asio::awaitable<absl::Status>
{
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
    auto ignored = beast::error_code();
    tcp().socket().set_option(asio::socket_base::linger(true, 0), ignored);
    tcp().socket().close(ignored);
}

template class HttpSession<beast::tcp_stream>;
template class HttpSession<beast::ssl_stream<beast::tcp_stream>>;

} // namespace nutmegplank::connection::http
