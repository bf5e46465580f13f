#include "request/admission/routing.h"

#include <boost/beast/core/string.hpp>

namespace nutmegplank::request::admission {

namespace {

constexpr auto ESCAPED_SPECIALS = std::array<std::string_view, 4> { "%2e", "%2f", "%5c", "%00" };
constexpr auto IDEMPOTENT_METHODS =
    std::array<std::string_view, 5> { "GET", "HEAD", "PUT", "DELETE", "OPTIONS" };

auto isEscapedSpecial(std::string_view path, std::size_t at) -> bool
{
    const auto escape = path.substr(at, 3);
    return std::any_of(ESCAPED_SPECIALS.begin(), ESCAPED_SPECIALS.end(),
                       [escape](auto special) { return boost::beast::iequals(escape, special); });
}

auto isControl(char letter) -> bool
{
    return static_cast<unsigned char>(letter) <= ' ' || letter == '\x7f';
}

auto covers(std::string_view prefix, std::string_view path) -> bool
{
    if (prefix.empty() || !path.starts_with(prefix))
        return false;
    return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/';
}

} // namespace

auto isPlainPath(std::string_view path) -> bool
{
    if (path.empty() || path.front() != '/')
        return false;
    for (auto at = std::size_t(0); at < path.size(); ++at) {
        if (path[at] == '\\' || isControl(path[at]) || isEscapedSpecial(path, at))
            return false;
        if (path[at] != '/')
            continue;
        const auto end = std::min(path.find('/', at + 1), path.size());
        const auto segment = path.substr(at + 1, end - at - 1);
        const auto isLast = end == path.size();
        if (segment == "." || segment == ".." || (segment.empty() && !isLast))
            return false;
        // Parameters of a segment hide dot segments from some servers: "/..;x/".
        if (segment.starts_with(".;") || segment.starts_with("..;"))
            return false;
    }
    return true;
}

auto findRoute(const version::configuration::Configuration &configuration, std::string_view path)
    -> const version::configuration::Route *
{
    const version::configuration::Route *best = nullptr;
    for (const auto &[name, route] : configuration.routes) {
        if (!covers(route.pathPrefix, path))
            continue;
        if (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())
            best = &route;
    }
    return best;
}

auto isIdempotentMethod(std::string_view method) -> bool
{
    return std::find(IDEMPOTENT_METHODS.begin(), IDEMPOTENT_METHODS.end(), method)
        != IDEMPOTENT_METHODS.end();
}

} // namespace nutmegplank::request::admission
