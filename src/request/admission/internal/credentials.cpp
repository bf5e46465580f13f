#include "request/admission/credentials.h"

#include <boost/beast/core/string.hpp>

namespace nutmegplank::request::admission {

namespace {

constexpr auto KEY_PARAMETER_NAME = std::string_view("api_key");
constexpr auto BEARER_PREFIX = std::string_view("bearer ");
//! Shorter keys could occur in ordinary text by chance.
constexpr auto MIN_SEARCHED_KEY_BYTES = std::size_t(12);

constexpr auto CREDENTIAL_HEADERS = std::array<std::string_view, 5> {
    "authorization", "proxy-authorization", "x-api-key", "api-key", "x-forwarded-authorization",
};

//! X-Boot-Id (of the answering server) and X-Deadline-Ms (how long the sender waits) also apply to
//! one connection only.
constexpr auto CONNECTION_HEADERS = std::array<std::string_view, 4> {
    "host",
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

auto hexDigitValue(char character) -> int
{
    if (character >= '0' && character <= '9')
        return character - '0';
    const auto lower = static_cast<char>(character | 0x20);
    if (lower >= 'a' && lower <= 'f')
        return lower - 'a' + 10;
    return -1;
}

//! Decodes percent escapes and '+'. Invalid escapes are kept as they are, so that no input fails.
auto decodePercentEncoding(std::string_view text) -> std::string
{
    auto output = std::string();
    for (auto position = std::size_t(0); position < text.size(); ++position) {
        const auto isEscape = text[position] == '%' && position + 2 < text.size()
            && hexDigitValue(text[position + 1]) >= 0 && hexDigitValue(text[position + 2]) >= 0;
        if (isEscape) {
            output += static_cast<char>(hexDigitValue(text[position + 1]) * 16
                                        + hexDigitValue(text[position + 2]));
            position += 2;
            continue;
        }
        output += text[position] == '+' ? ' ' : text[position];
    }
    return output;
}

auto addDistinctKey(Credentials &credentials, std::string key) -> void
{
    const auto existing = std::find(credentials.keys.begin(), credentials.keys.end(), key);
    if (!key.empty() && existing == credentials.keys.end())
        credentials.keys.push_back(std::move(key));
}

//! Whether \a pair ("name=value") is a key parameter; its value is added to \a credentials.
auto extractKeyFromPair(std::string_view pair, Credentials &credentials) -> bool
{
    const auto equals = pair.find('=');
    if (!equalsIgnoringCase(trim(decodePercentEncoding(pair.substr(0, equals))),
                            KEY_PARAMETER_NAME))
        return false;
    if (equals != std::string_view::npos)
        addDistinctKey(credentials, decodePercentEncoding(pair.substr(equals + 1)));
    return true;
}

auto extractFromHeaders(connection::http::Headers &headers, Credentials &credentials) -> void
{
    std::erase_if(headers, [&credentials](const connection::http::Header &header) {
        const auto hasName = [&header](auto name) { return equalsIgnoringCase(header.name, name); };
        if (std::none_of(CREDENTIAL_HEADERS.begin(), CREDENTIAL_HEADERS.end(), hasName))
            return false;
        const auto value = trim(header.value);
        if (hasName("x-api-key"))
            addDistinctKey(credentials, std::string(value));
        if (hasName("authorization")
            && equalsIgnoringCase(value.substr(0, BEARER_PREFIX.size()), BEARER_PREFIX))
            addDistinctKey(credentials, std::string(trim(value.substr(BEARER_PREFIX.size()))));
        return true;
    });
}

//! Splits the query at '&' and ';', because some backend servers accept both as separators.
auto extractFromQuery(std::string &target, Credentials &credentials) -> void
{
    target.erase(std::min(target.find('#'), target.size()));
    const auto question = target.find('?');
    if (question == std::string::npos)
        return;
    const auto query = std::string_view(target).substr(question + 1);
    auto remaining = std::string();
    auto separator = char(0);
    for (auto position = std::size_t(0); position <= query.size();) {
        const auto end = std::min(query.find_first_of("&;", position), query.size());
        const auto pair = query.substr(position, end - position);
        if (!extractKeyFromPair(pair, credentials)) {
            if (separator != 0)
                remaining += separator;
            remaining += pair;
            separator = end < query.size() ? query[end] : char(0);
        }
        position = end + 1;
    }
    target.erase(question);
    if (!remaining.empty())
        target += "?" + remaining;
}

auto extractFromCookies(connection::http::Headers &headers, Credentials &credentials) -> void
{
    for (auto &header : headers) {
        if (!equalsIgnoringCase(header.name, "cookie"))
            continue;
        auto remaining = std::string();
        const auto value = std::string_view(header.value);
        for (auto position = std::size_t(0); position <= value.size();) {
            const auto end = std::min(value.find_first_of(";,", position), value.size());
            const auto pair = trim(value.substr(position, end - position));
            const auto equals = pair.find('=');
            position = end + 1;
            if (equalsIgnoringCase(trim(decodePercentEncoding(pair.substr(0, equals))),
                                   KEY_PARAMETER_NAME)) {
                if (equals != std::string_view::npos)
                    addDistinctKey(credentials,
                                   std::string(unquote(trim(pair.substr(equals + 1)))));
                continue;
            }
            if (!pair.empty())
                remaining += (remaining.empty() ? "" : "; ") + std::string(pair);
        }
        header.value = std::move(remaining);
    }
    std::erase_if(headers, [](const connection::http::Header &header) {
        return equalsIgnoringCase(header.name, "cookie") && header.value.empty();
    });
}

auto containsAnyKey(std::string_view text, const Credentials &credentials) -> bool
{
    return std::any_of(credentials.keys.begin(), credentials.keys.end(), [text](const auto &key) {
        return key.size() >= MIN_SEARCHED_KEY_BYTES && text.find(key) != std::string_view::npos;
    });
}

} // namespace

auto extractCredentials(connection::http::Request &request) -> Credentials
{
    auto credentials = Credentials();
    extractFromHeaders(request.headers, credentials);
    extractFromQuery(request.target, credentials);
    extractFromCookies(request.headers, credentials);
    std::erase_if(request.headers, [&credentials](const connection::http::Header &header) {
        return containsAnyKey(header.value, credentials)
            || containsAnyKey(decodePercentEncoding(header.value), credentials)
            || containsAnyKey(header.name, credentials);
    });
    return credentials;
}

auto containsKey(const connection::http::Request &request, const Credentials &credentials) -> bool
{
    return containsAnyKey(request.target, credentials)
        || containsAnyKey(decodePercentEncoding(request.target), credentials)
        || containsAnyKey(request.body, credentials);
}

auto removeConnectionHeaders(connection::http::Headers &headers) -> void
{
    connection::http::removeHopByHopHeaders(headers);
    for (const auto name : CONNECTION_HEADERS)
        connection::http::removeHeader(headers, name);
}

} // namespace nutmegplank::request::admission
