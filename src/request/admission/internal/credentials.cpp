#include "request/admission/credentials.h"

#include <boost/beast/core/string.hpp>

namespace nutmegplank::request::admission {

namespace {

constexpr auto KEY_NAME = std::string_view("api_key");
constexpr auto BEARER = std::string_view("bearer ");
//! Shorter keys would be found by chance in ordinary text.
constexpr auto SHORTEST_SEARCHED_KEY = std::size_t(12);

constexpr auto CREDENTIAL_HEADERS = std::array<std::string_view, 5> {
    "authorization", "proxy-authorization", "x-api-key", "api-key", "x-forwarded-authorization",
};

constexpr auto CONNECTION_HEADERS = std::array<std::string_view, 13> {
    "connection",
    "keep-alive",
    "proxy-connection",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "expect",
    "host",
    "content-length",
    "x-boot-id",
    "x-deadline-ms",
    "proxy-authenticate",
};

auto equalsIgnoringCase(std::string_view left, std::string_view right) -> bool
{
    return boost::beast::iequals(left, right);
}

auto trim(std::string_view text) -> std::string_view
{
    constexpr auto BLANKS = std::string_view(" \t");
    const auto first = text.find_first_not_of(BLANKS);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(BLANKS) - first + 1);
}

auto unquote(std::string_view text) -> std::string_view
{
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
        return text.substr(1, text.size() - 2);
    return text;
}

auto hexDigit(char letter) -> int
{
    if (letter >= '0' && letter <= '9')
        return letter - '0';
    const auto lower = static_cast<char>(letter | 0x20);
    if (lower >= 'a' && lower <= 'f')
        return lower - 'a' + 10;
    return -1;
}

//! Percent decoding that keeps what is not an escape, so that no input is an error.
auto decode(std::string_view text) -> std::string
{
    auto output = std::string();
    for (auto at = std::size_t(0); at < text.size(); ++at) {
        const auto isEscape = text[at] == '%' && at + 2 < text.size() && hexDigit(text[at + 1]) >= 0
            && hexDigit(text[at + 2]) >= 0;
        if (isEscape) {
            output += static_cast<char>(hexDigit(text[at + 1]) * 16 + hexDigit(text[at + 2]));
            at += 2;
            continue;
        }
        output += text[at] == '+' ? ' ' : text[at];
    }
    return output;
}

auto addKey(Credentials &credentials, std::string key) -> void
{
    const auto known = std::find(credentials.keys.begin(), credentials.keys.end(), key);
    if (!key.empty() && known == credentials.keys.end())
        credentials.keys.push_back(std::move(key));
}

//! Whether "name=value" names a key; its value goes to \a credentials.
auto takePair(std::string_view pair, Credentials &credentials) -> bool
{
    const auto equals = pair.find('=');
    if (!equalsIgnoringCase(trim(decode(pair.substr(0, equals))), KEY_NAME))
        return false;
    if (equals != std::string_view::npos)
        addKey(credentials, decode(pair.substr(equals + 1)));
    return true;
}

auto takeHeaders(connection::http::Headers &headers, Credentials &credentials) -> void
{
    std::erase_if(headers, [&credentials](const connection::http::Header &header) {
        const auto isName = [&header](auto name) { return equalsIgnoringCase(header.name, name); };
        if (std::none_of(CREDENTIAL_HEADERS.begin(), CREDENTIAL_HEADERS.end(), isName))
            return false;
        const auto value = trim(header.value);
        if (isName("x-api-key"))
            addKey(credentials, std::string(value));
        if (isName("authorization") && equalsIgnoringCase(value.substr(0, BEARER.size()), BEARER))
            addKey(credentials, std::string(trim(value.substr(BEARER.size()))));
        return true;
    });
}

//! Both separators that backend servers may know are taken as such.
auto takeQuery(std::string &target, Credentials &credentials) -> void
{
    target.erase(std::min(target.find('#'), target.size()));
    const auto question = target.find('?');
    if (question == std::string::npos)
        return;
    const auto query = std::string_view(target).substr(question + 1);
    auto kept = std::string();
    auto separator = char(0);
    for (auto at = std::size_t(0); at <= query.size();) {
        const auto end = std::min(query.find_first_of("&;", at), query.size());
        const auto pair = query.substr(at, end - at);
        if (!takePair(pair, credentials)) {
            if (separator != 0)
                kept += separator;
            kept += pair;
            separator = end < query.size() ? query[end] : char(0);
        }
        at = end + 1;
    }
    target.erase(question);
    if (!kept.empty())
        target += "?" + kept;
}

auto takeCookies(connection::http::Headers &headers, Credentials &credentials) -> void
{
    for (auto &header : headers) {
        if (!equalsIgnoringCase(header.name, "cookie"))
            continue;
        auto kept = std::string();
        const auto value = std::string_view(header.value);
        for (auto at = std::size_t(0); at <= value.size();) {
            const auto end = std::min(value.find_first_of(";,", at), value.size());
            const auto pair = trim(value.substr(at, end - at));
            const auto equals = pair.find('=');
            at = end + 1;
            if (equalsIgnoringCase(trim(decode(pair.substr(0, equals))), KEY_NAME)) {
                if (equals != std::string_view::npos)
                    addKey(credentials, std::string(unquote(trim(pair.substr(equals + 1)))));
                continue;
            }
            if (!pair.empty())
                kept += (kept.empty() ? "" : "; ") + std::string(pair);
        }
        header.value = std::move(kept);
    }
    std::erase_if(headers, [](const connection::http::Header &header) {
        return equalsIgnoringCase(header.name, "cookie") && header.value.empty();
    });
}

auto holdsKey(std::string_view text, const Credentials &credentials) -> bool
{
    return std::any_of(credentials.keys.begin(), credentials.keys.end(), [text](const auto &key) {
        return key.size() >= SHORTEST_SEARCHED_KEY && text.find(key) != std::string_view::npos;
    });
}

} // namespace

auto takeCredentials(connection::http::Request &request) -> Credentials
{
    auto credentials = Credentials();
    takeHeaders(request.headers, credentials);
    takeQuery(request.target, credentials);
    takeCookies(request.headers, credentials);
    std::erase_if(request.headers, [&credentials](const connection::http::Header &header) {
        return holdsKey(header.value, credentials) || holdsKey(decode(header.value), credentials)
            || holdsKey(header.name, credentials);
    });
    return credentials;
}

auto repeatsKey(const connection::http::Request &request, const Credentials &credentials) -> bool
{
    return holdsKey(request.target, credentials) || holdsKey(decode(request.target), credentials)
        || holdsKey(request.body, credentials);
}

auto removeConnectionHeaders(connection::http::Headers &headers) -> void
{
    const auto named = connection::http::headerValue(headers, "connection");
    std::erase_if(headers, [&named](const connection::http::Header &header) {
        const auto isName = [&header](auto name) { return equalsIgnoringCase(header.name, name); };
        const auto isFixed =
            std::any_of(CONNECTION_HEADERS.begin(), CONNECTION_HEADERS.end(), isName);
        return isFixed || boost::beast::http::token_list(named).exists(header.name);
    });
}

} // namespace nutmegplank::request::admission
