#include "connection/http/message.h"

#include <algorithm>
#include <array>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/url.hpp>

namespace nutmegplank::connection::http {

namespace {

constexpr auto HOP_BY_HOP_HEADERS = std::array<std::string_view, 9> {
    "Connection", "Keep-Alive",        "Proxy-Connection", "Upgrade", "TE",
    "Trailer",    "Transfer-Encoding", "Content-Length",   "Expect",
};

constexpr auto TOKEN_PUNCTUATION = std::string_view("!#$%&'*+-.^_`|~");
constexpr auto DELETE_CHARACTER = '\x7f';

auto isControl(char byte) -> bool
{
    return static_cast<unsigned char>(byte) < ' ' || byte == DELETE_CHARACTER;
}

auto isTokenCharacter(char byte) -> bool
{
    const auto lower = static_cast<char>(byte | 0x20);
    return (lower >= 'a' && lower <= 'z') || (byte >= '0' && byte <= '9')
        || TOKEN_PUNCTUATION.find(byte) != std::string_view::npos;
}

auto isForbiddenInValue(char byte) -> bool
{
    return isControl(byte) && byte != '\t';
}

} // namespace

auto headerValue(const Headers &headers, std::string_view name) -> std::string
{
    for (const auto &header : headers) {
        if (boost::beast::iequals(header.name, name))
            return header.value;
    }
    return {};
}

auto removeHeader(Headers &headers, std::string_view name) -> void
{
    std::erase_if(
        headers, [name](const Header &header) { return boost::beast::iequals(header.name, name); });
}

auto areValidHeaders(const Headers &headers) -> bool
{
    return std::ranges::all_of(headers, [](const Header &header) {
        return !header.name.empty() && std::ranges::all_of(header.name, isTokenCharacter)
            && std::ranges::none_of(header.value, isForbiddenInValue);
    });
}

auto isValidTarget(std::string_view target) -> bool
{
    return !target.empty()
        && std::ranges::none_of(target, [](char byte) { return isControl(byte) || byte == ' '; });
}

auto removeHopByHopHeaders(Headers &headers) -> void
{
    const auto options = headerValue(headers, "Connection");
    std::erase_if(headers, [&options](const Header &header) {
        const auto hasName = [&header](std::string_view name) {
            return boost::beast::iequals(header.name, name);
        };
        return std::ranges::any_of(HOP_BY_HOP_HEADERS, hasName)
            || boost::beast::http::token_list(options).exists(header.name);
    });
}

auto jsonResponse(std::uint32_t status, std::string body) -> Response
{
    return Response { status, { { "Content-Type", "application/json" } }, std::move(body) };
}

auto pathOf(std::string_view target) -> std::string_view
{
    return target.substr(0, target.find('?'));
}

auto queryValue(std::string_view target, std::string_view name) -> std::string
{
    const auto parsed = boost::urls::parse_origin_form(target);
    if (!parsed)
        return {};
    for (const auto &parameter : parsed->params()) {
        if (parameter.key == name)
            return std::string(parameter.value);
    }
    return {};
}

} // namespace nutmegplank::connection::http
