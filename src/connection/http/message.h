#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

//! HTTP messages as the product's code sees them, apart from the library.
namespace nutmegplank::connection::http {

//! One header field; names compare without case.
struct Header
{
    std::string name;
    std::string value;
};
using Headers = std::vector<Header>;

//! The value of the first field called \a name; empty when there is none.
auto headerValue(const Headers &headers, std::string_view name) -> std::string;

//! Removes all fields called \a name.
auto removeHeader(Headers &headers, std::string_view name) -> void;

//! Whether \a headers can be sent as they are. A line break in a value would begin a field of its
//! own, and other servers would read it as one.
auto areValidHeaders(const Headers &headers) -> bool;

//! Whether \a target can stand in the first line of a request.
auto isValidTarget(std::string_view target) -> bool;

//! Removes the fields that concern one connection or the framing of one body, also those that
//! "Connection" names, which no hop passes on. "Expect" is among them: each hop answers it itself.
auto removeHopByHopHeaders(Headers &headers) -> void;

//! A request with its whole body.
struct Request
{
    std::string method = "GET";
    std::string target = "/"; //!< Path and query.
    Headers headers;
    std::string body;
    std::string peer; //!< "address:port" of the caller; set by the server only.
};

//! A response with its whole body.
struct Response
{
    std::uint32_t status = 200;
    Headers headers;
    std::string body;
};

//! A response of type application/json.
auto jsonResponse(std::uint32_t status, std::string body) -> Response;

//! The target's path without its query.
auto pathOf(std::string_view target) -> std::string_view;

//! The decoded value of a query parameter; empty when it is absent.
auto queryValue(std::string_view target, std::string_view name) -> std::string;

} // namespace nutmegplank::connection::http
