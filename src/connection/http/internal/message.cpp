#include "connection/http/message.h"

#include <boost/beast/core/string.hpp>
#include <boost/url.hpp>

namespace nutmegplank::connection::http {

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
