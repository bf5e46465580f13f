#include "connection/backend/cleanheaders.h"

#include <boost/beast/core/string.hpp>
#include <boost/url.hpp>

namespace nutmegplank::connection::backend {

namespace {

constexpr auto KEY_PARAMETER = std::string_view("api_key");
constexpr auto REMOVED_HEADERS = std::array<std::string_view, 5> {
    "Authorization", "Proxy-Authorization", "Cookie", "X-Api-Key", "Host",
};

} // namespace

auto cleanHeaders(http::Headers headers) -> http::Headers
{
    for (const auto name : REMOVED_HEADERS)
        http::removeHeader(headers, name);
    http::removeHopByHopHeaders(headers);
    return headers;
}

auto cleanTarget(const std::string &target) -> std::string
{
    const auto parsed = boost::urls::parse_origin_form(target);
    if (!parsed || !parsed->has_query())
        return target;
    auto url = boost::urls::url(*parsed);
    auto parameters = url.params();
    for (auto at = parameters.begin(); at != parameters.end();) {
        const auto isKey = boost::beast::iequals((*at).key, KEY_PARAMETER);
        at = isKey ? parameters.erase(at) : std::next(at);
    }
    if (parameters.empty())
        url.remove_query();
    return std::string(url.buffer());
}

} // namespace nutmegplank::connection::backend
