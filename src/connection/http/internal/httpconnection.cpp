#include "connection/http/internal/httpconnection.h"

#include <sys/socket.h>

#include <algorithm>
#include <charconv>

#include <boost/asio/ssl.hpp>
#include <boost/beast/ssl.hpp>

#include "base/status.h"

namespace nutmegplank::connection::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;

constexpr auto USE_TUPLE = asio::as_tuple(asio::use_awaitable);
constexpr auto READ_BYTES = std::size_t(16 * 1024);
constexpr auto FIRST_STATUS = 100U;
//! Heads with a lower status are interim: the final one follows.
constexpr auto FIRST_FINAL_STATUS = 200U;
constexpr auto LAST_STATUS = 599U;
constexpr auto STATUS_SWITCHING_PROTOCOLS = 101U;
//! A peer in trouble may send interim heads without end.
constexpr auto MAX_INTERIM_RESPONSES = 16;

//! The seconds of "timeout=N" in a Keep-Alive header; 0 when there are none.
auto keepAliveOf(std::string_view value) -> base::Duration
{
    constexpr auto FIELD = std::string_view("timeout=");
    const auto at = value.find(FIELD);
    if (at == std::string_view::npos)
        return base::Duration(0);
    auto seconds = 0;
    const auto digits = value.substr(at + FIELD.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
    return std::chrono::seconds(seconds);
}

//! Whether "chunked" is the only transfer coding. A body in another one would be passed on encoded,
//! as the field that names its codings concerns one connection only.
auto hasKnownCoding(const beast::http::fields &fields) -> bool
{
    const auto [first, last] = fields.equal_range(beast::http::field::transfer_encoding);
    return std::all_of(first, last,
                       [](const auto &field) { return beast::iequals(field.value(), "chunked"); });
}

//! Whether a body follows the head, unless the status rules it out.
auto announcesBody(const beast::http::fields &fields) -> bool
{
    constexpr auto NO_BODY = std::string_view("0");
    const auto length = fields.find(beast::http::field::content_length);
    return fields.count(beast::http::field::transfer_encoding) > 0
        || (length != fields.end() && length->value() != NO_BODY);
}

//! Why an answer is unusable for its head, though the parser takes it; empty if it is not.
auto problemOfHead(std::uint32_t status, const beast::http::fields &fields) -> std::string_view
{
    if (status < FIRST_STATUS || status > LAST_STATUS)
        return "the status is none of HTTP";
    if (status == STATUS_SWITCHING_PROTOCOLS)
        return "the peer changed the protocol, which was not asked for";
    if (!hasKnownCoding(fields))
        return "the body has an unknown transfer coding";
    const auto isInterim = status < FIRST_FINAL_STATUS;
    if (isInterim && announcesBody(fields))
        return "an interim response announces a body";
    return {};
}

//! Whether a line of \a fields begins with a blank. The parser would append it to the value of the
//! line before, so that a field with a blank before its name changes another one.
auto hasFoldedLine(std::string_view fields) -> bool
{
    return fields.find("\r\n ") != std::string_view::npos
        || fields.find("\r\n\t") != std::string_view::npos;
}

} // namespace

template <typename Stream>
auto HttpConnection<Stream>::errorAt(std::string_view step, beast::error_code error) const
    -> absl::Status
{
    auto code = absl::StatusCode::kUnavailable;
    if (error == beast::error::timeout)
        code = absl::StatusCode::kDeadlineExceeded;
    else if (error == beast::http::error::body_limit)
        code = absl::StatusCode::kOutOfRange;
    return base::makeError(code, error.message(), { std::string(step), m_peer });
}

template <typename Stream>
auto HttpConnection<Stream>::unusableHead(std::string_view problem) const -> absl::Status
{
    return base::makeError(absl::StatusCode::kUnavailable, problem, { "http.readHead", m_peer });
}

template <typename Stream>
auto HttpConnection<Stream>::send(const Request &request, base::Duration timeout,
                                  std::function<void()> onFirstByte)
    -> asio::awaitable<absl::Status>
{
    m_reusable = false;
    if (!areValidHeaders(request.headers) || !isValidTarget(request.target))
        co_return base::makeError(absl::StatusCode::kInvalidArgument,
                                  "the target or a header has characters that can't be sent",
                                  { "http.send", m_peer });
    // Refers to the caller's body: a copy of a large one would not fit into a small machine.
    auto message = beast::http::request<beast::http::span_body<const char>>();
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    if (headerValue(request.headers, "Host").empty())
        message.set(beast::http::field::host, m_peer);
    for (const auto &header : request.headers)
        message.insert(header.name, header.value);
    message.body() = { request.body.data(), request.body.size() };
    message.prepare_payload();
    m_headRequest = request.method == "HEAD";
    if (onFirstByte)
        onFirstByte();
    tcp().expires_after(timeout);
    auto [error, bytes] = co_await beast::http::async_write(m_stream, message, USE_TUPLE);
    co_return error ? errorAt("http.send", error) : absl::OkStatus();
}

template <typename Stream>
auto HttpConnection<Stream>::readHead(base::Duration timeout)
    -> asio::awaitable<absl::StatusOr<Response>>
{
    tcp().expires_after(timeout);
    auto head = Response();
    head.status = 0;
    for (auto interim = 0; head.status < FIRST_FINAL_STATUS; ++interim) {
        if (interim > MAX_INTERIM_RESPONSES)
            co_return unusableHead("too many interim responses");
        m_parser = std::make_unique<Parser>();
        m_parser->body_limit(m_bodyLimit);
        m_parser->skip(m_headRequest);
        const auto parsed = co_await parseHead();
        if (!parsed.ok())
            co_return parsed;
        head.status = m_parser->get().result_int();
        const auto problem = problemOfHead(head.status, m_parser->get());
        if (!problem.empty())
            co_return unusableHead(problem);
    }
    const auto field = m_parser->get()[beast::http::field::keep_alive];
    m_keepAlive = keepAliveOf({ field.data(), field.size() });
    for (const auto &field : m_parser->get())
        head.headers.push_back({ std::string(field.name_string()), std::string(field.value()) });
    co_return head;
}

template <typename Stream>
auto HttpConnection<Stream>::parseHead() -> asio::awaitable<absl::Status>
{
    auto error = beast::error_code(beast::http::error::need_more);
    while (true) {
        if (m_buffer.size() > 0) {
            const auto received = m_buffer.cdata();
            const auto used = m_parser->put(received, error);
            // The parser takes whole fields only, so that no fold is divided between two calls.
            const auto folded = hasFoldedLine({ static_cast<const char *>(received.data()), used });
            m_buffer.consume(used);
            if (folded)
                co_return unusableHead("a line of the head begins with a blank");
        }
        if (!error)
            co_return absl::OkStatus();
        if (error != beast::http::error::need_more)
            co_return errorAt("http.readHead", error);
        const auto room = beast::read_size(m_buffer, READ_BYTES);
        if (room == 0)
            co_return errorAt("http.readHead", beast::http::error::buffer_overflow);
        auto [readError, bytes] =
            co_await m_stream.async_read_some(m_buffer.prepare(room), USE_TUPLE);
        if (readError == asio::error::eof)
            readError = m_parser->got_some() ? beast::http::error::partial_message
                                             : beast::http::error::end_of_stream;
        if (readError)
            co_return errorAt("http.readHead", readError);
        m_buffer.commit(bytes);
    }
}

template <typename Stream>
auto HttpConnection<Stream>::readBody(base::Duration timeout)
    -> asio::awaitable<absl::StatusOr<std::optional<std::string>>>
{
    auto part = std::string(READ_BYTES, '\0');
    while (!m_parser->is_done()) {
        auto &body = m_parser->get().body();
        body.data = part.data();
        body.size = part.size();
        tcp().expires_after(timeout);
        auto [error, bytes] =
            co_await beast::http::async_read_some(m_stream, m_buffer, *m_parser, USE_TUPLE);
        if (error && error != beast::http::error::need_buffer)
            co_return errorAt("http.readBody", error);
        const auto received = part.size() - body.size;
        if (received == 0)
            continue;
        part.resize(received);
        co_return std::optional<std::string>(std::move(part));
    }
    // Bytes after a complete answer belong to no request and poison the connection.
    m_reusable = m_parser->keep_alive() && m_buffer.size() == 0;
    co_return std::optional<std::string>();
}

template <typename Stream>
auto HttpConnection<Stream>::quiet() -> bool
{
    auto byte = char();
    const auto received = ::recv(tcp().socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

template <typename Stream>
auto HttpConnection<Stream>::close() -> void
{
    m_reusable = false;
    auto ignored = beast::error_code();
    tcp().socket().close(ignored);
}

template <typename Stream>
auto HttpConnection<Stream>::reset() -> void
{
    auto ignored = beast::error_code();
    tcp().socket().set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

template class HttpConnection<beast::tcp_stream>;
template class HttpConnection<beast::ssl_stream<beast::tcp_stream>>;

} // namespace nutmegplank::connection::http
