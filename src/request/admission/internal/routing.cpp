#include "request/admission/routing.h"

#include <boost/beast/core/string.hpp>

namespace nutmegplank::request::admission {

namespace {

constexpr auto FORBIDDEN_ESCAPES = std::array<std::string_view, 4> { "%2e", "%2f", "%5c", "%00" };
constexpr auto IDEMPOTENT_METHODS =
    std::array<std::string_view, 5> { "GET", "HEAD", "PUT", "DELETE", "OPTIONS" };

auto isForbiddenEscape(std::string_view path, std::size_t position) -> bool
{
    const auto escape = path.substr(position, 3);
    return std::any_of(
        FORBIDDEN_ESCAPES.begin(), FORBIDDEN_ESCAPES.end(),
        [escape](auto forbidden) { return boost::beast::iequals(escape, forbidden); });
}

auto isControlOrSpace(char character) -> bool
{
    return static_cast<unsigned char>(character) <= ' ' || character == '\x7f';
}

auto matchesPrefix(std::string_view prefix, std::string_view path) -> bool
{
    if (prefix.empty() || !path.starts_with(prefix))
        return false;
    return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/';
}

} // namespace

auto isNormalizedPath(std::string_view path) -> bool
{
    if (path.empty() || path.front() != '/')
        return false;
    for (auto position = std::size_t(0); position < path.size(); ++position) {
        if (path[position] == '\\' || isControlOrSpace(path[position])
            || isForbiddenEscape(path, position))
            return false;
        if (path[position] != '/')
            continue;
        const auto end = std::min(path.find('/', position + 1), path.size());
        const auto segment = path.substr(position + 1, end - position - 1);
        const auto isLast = end == path.size();
        if (segment == "." || segment == ".." || (segment.empty() && !isLast))
            return false;
        // Some servers strip path parameters, so that "/..;x/" becomes a dot segment.
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
        if (!matchesPrefix(route.pathPrefix, path))
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
