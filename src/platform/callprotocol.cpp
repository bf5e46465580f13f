#include "platform/callprotocol.h"

#include <algorithm>
#include <charconv>

#include <boost/beast/core/string.hpp>
#include <boost/json.hpp>

#include "base/base64.h"
#include "base/status.h"
#include "base/text.h"
#include "base/utf8.h"
#include "connection/backend/cleanheaders.h"
#include "platform/jsonfields.h"
#include "platform/wireheaders.h"

namespace nutmegplank::platform {

namespace {

namespace http = connection::http;
namespace json = boost::json;
using request::call::Call;
using request::call::CallKind;
using request::call::RefusalCode;
using version::routing::Credential;
using version::routing::CredentialKind;

//! "lots" on the wire are batches.
constexpr auto BATCH_PREFIX = std::string_view("/v1/lots/");
constexpr auto ITEM_BODY_PREFIX = std::string_view("/v1/items/");
constexpr auto BEARER_SCHEME = std::string_view("Bearer");
//! Stays below the limit of 1 MB of results in a response.
constexpr auto MAX_RESULT_BYTES = std::size_t(900'000);
constexpr auto STATUS_OK = 200U;
constexpr auto STATUS_ACCEPTED = 202U;
//! Larger figures are no counts of tokens.
constexpr auto MOST_TOKENS = std::uint64_t(1) << 40;

auto parseUnsigned(std::string_view text) -> std::optional<std::uint64_t>
{
    auto number = std::uint64_t(0);
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc())
        return std::nullopt;
    return number;
}

auto httpStatusFor(RefusalCode code) -> std::uint32_t
{
    switch (code) {
    case RefusalCode::NoRoute:
    case RefusalCode::NoBatch:
        return 404;
    case RefusalCode::UnknownKey:
        return 401;
    case RefusalCode::Malformed:
        return 400;
    case RefusalCode::TooLarge:
        return 413;
    case RefusalCode::Unknown:
        return 502;
    case RefusalCode::Expired:
        return 504;
    case RefusalCode::NotReady:
    case RefusalCode::NoServer:
    case RefusalCode::StoreUnavailable:
    case RefusalCode::Unsure:
    case RefusalCode::CannotResume:
    case RefusalCode::Quarantined:
    case RefusalCode::Stopping:
        return 503;
    }
    return 503;
}

auto trimmed(std::string_view text) -> std::string_view
{
    constexpr auto BLANKS = std::string_view(" \t");
    const auto first = text.find_first_not_of(BLANKS);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(BLANKS) - first + 1);
}

//! Returns the key if \a authorization has the scheme for keys, which compares without case.
auto bearerKey(std::string_view authorization) -> std::optional<std::string_view>
{
    const auto scheme = authorization.substr(0, authorization.find_first_of(" \t"));
    if (!boost::beast::iequals(scheme, BEARER_SCHEME))
        return std::nullopt;
    return trimmed(authorization.substr(scheme.size()));
}

//! Other schemes are no keys. A key that is empty, or beside a different one, must not pass for
//! none: the call would run for somebody else than its sender.
auto readCredential(const http::Headers &headers) -> Credential
{
    auto credential = Credential();
    for (const auto &header : headers) {
        const auto isAuthorization = boost::beast::iequals(header.name, "Authorization");
        const auto key = isAuthorization ? bearerKey(header.value) : std::nullopt;
        if (!key.has_value())
            continue;
        const auto isAnother = credential.kind == CredentialKind::Key && credential.key != *key;
        if (key->empty() || isAnother)
            return { CredentialKind::Unusable };
        credential = { CredentialKind::Key, std::string(*key) };
    }
    return credential;
}

auto malformedSubmission(const Call &call, std::string_view what) -> absl::Status
{
    return base::makeError(absl::StatusCode::kInvalidArgument, what,
                           { "batch.read", call.requestId });
}

auto isVisibleAscii(std::string_view text) -> bool
{
    return std::ranges::all_of(text, [](char byte) { return byte > ' ' && byte < '\x7f'; });
}

//! "prompt tokens,maximum output tokens"; zeros if there are none.
auto readTokenUsage(std::string_view usage) -> process::health::RequestSize
{
    auto size = process::health::RequestSize();
    const auto comma = usage.find(',');
    if (comma == std::string_view::npos)
        return size;
    const auto prompt = parseUnsigned(trimmed(usage.substr(0, comma)));
    const auto output = parseUnsigned(trimmed(usage.substr(comma + 1)));
    if (!prompt.has_value() || !output.has_value() || *output > MOST_TOKENS
        || *prompt > MOST_TOKENS)
        return size;
    size.contextTokens = *prompt;
    size.totalTokens = *prompt + *output;
    return size;
}

auto itemHeader(const version::batch::Item &item, std::string_view name) -> std::string
{
    return http::headerValue(item.headers, name);
}

//! Headers of an item as they go to a backend server. Whose the item is comes from the batch, and
//! no backend server sees a key.
auto readItemHeaders(const json::object &object) -> http::Headers
{
    auto headers = http::Headers();
    for (const auto &entry : object) {
        if (entry.value().is_string())
            headers.push_back(
                { std::string(entry.key()), std::string(entry.value().get_string()) });
    }
    headers = connection::backend::cleanHeaders(std::move(headers));
    http::removeHeader(headers, wireheaders::WORKSPACE);
    http::removeHeader(headers, wireheaders::REQUEST_ID);
    return headers;
}

auto canBeSent(const version::batch::Scorer &scorer) -> bool
{
    return http::isValidTarget(scorer.path)
        && http::areValidHeaders(
               { { "Host", scorer.host }, { wireheaders::REQUEST_ID, scorer.id } });
}

auto readScorer(const json::object &object) -> std::optional<version::batch::Scorer>
{
    const auto id = stringField(object, "id");
    const auto host = stringField(object, "host");
    const auto path = stringField(object, "path");
    const auto body = base::decodeBase64(stringField(object, "body").value_or(""));
    if (!id.has_value() || !host.has_value() || !path.has_value() || !body.has_value())
        return std::nullopt;
    auto scorer = version::batch::Scorer { *id, *host, *path, *body };
    if (!canBeSent(scorer))
        return std::nullopt;
    return scorer;
}

auto readItem(const json::object &object) -> std::optional<version::batch::Item>
{
    auto item = version::batch::Item();
    const auto id = stringField(object, "id");
    const auto path = stringField(object, "path");
    const auto body = base::decodeBase64(stringField(object, "body").value_or(""));
    if (!id.has_value() || !path.has_value() || !body.has_value())
        return std::nullopt;
    item.id = *id;
    item.path = *path;
    item.body = *body;
    item.group = stringField(object, "group").value_or("");
    if (const auto *scorer = objectField(object, "scorer")) {
        item.scorer = readScorer(*scorer);
        if (!item.scorer.has_value())
            return std::nullopt;
    }
    // "tokens" is the prompt length plus the maximum output length.
    item.tokens = unsignedField(object, "tokens").value_or(0);
    if (const auto *headers = objectField(object, "headers"))
        item.headers = readItemHeaders(*headers);
    item.headers.push_back({ wireheaders::REQUEST_ID, item.id });
    if (!http::isValidTarget(item.path) || !http::areValidHeaders(item.headers))
        return std::nullopt;
    item.promptTokens = parseUnsigned(itemHeader(item, wireheaders::TOKEN_USAGE)).value_or(0);
    item.expectedOutput = parseUnsigned(itemHeader(item, wireheaders::LENGTH_HINT)).value_or(0);
    return item;
}

} // namespace

auto CallProtocol::readCall(const http::Request &request) const -> Call
{
    auto call = Call();
    call.requestId = http::headerValue(request.headers, wireheaders::REQUEST_ID);
    call.host = http::headerValue(request.headers, "Host");
    call.path = std::string(http::pathOf(request.target));
    call.credential = readCredential(request.headers);
    const auto deadline = parseUnsigned(http::headerValue(request.headers, wireheaders::DEADLINE));
    call.timeLeft = std::chrono::milliseconds(deadline.value_or(0));
    const auto wait = parseUnsigned(http::headerValue(request.headers, wireheaders::MAX_WAIT));
    call.wait = std::chrono::milliseconds(wait.value_or(0));
    call.resumesStream = !http::headerValue(request.headers, wireheaders::LAST_EVENT_ID).empty();
    call.streamBegunBy = http::headerValue(request.headers, wireheaders::RESUMES);
    call.size = readTokenUsage(http::headerValue(request.headers, wireheaders::TOKEN_USAGE));
    if (call.size.totalTokens == 0)
        call.size.bodyBytes = request.body.size();
    if (call.path.starts_with(BATCH_PREFIX) && request.method == "GET") {
        call.kind = CallKind::ReadResults;
        call.batchId = call.path.substr(BATCH_PREFIX.size());
        call.position = parseUnsigned(http::queryValue(request.target, "after")).value_or(0);
    } else if (call.path.starts_with(BATCH_PREFIX) && request.method == "DELETE") {
        call.kind = CallKind::EndBatch;
        call.batchId = call.path.substr(BATCH_PREFIX.size());
    } else if (call.path.starts_with(ITEM_BODY_PREFIX) && request.method == "GET") {
        call.kind = CallKind::ReadBody;
        call.batchId = call.path.substr(ITEM_BODY_PREFIX.size());
        call.itemId = http::queryValue(request.target, "id");
    }
    return call;
}

auto CallProtocol::readSubmission(const Call &call, const std::string &body) const
    -> absl::StatusOr<version::batch::Submission>
{
    const auto object = parseObject(body);
    if (!object.has_value())
        return malformedSubmission(call, "the body is no JSON object");
    const auto *items = arrayField(*object, "items");
    // Ids and paths become text fields of log records, which cannot be read if they are not UTF-8.
    if (!isVisibleAscii(call.requestId) || !isVisibleAscii(call.path) || !isVisibleAscii(call.host))
        return malformedSubmission(call, "X-Request-Id, path and Host must be visible ASCII");
    if (call.requestId.empty() || items == nullptr || items->empty())
        return malformedSubmission(call, "a batch needs X-Request-Id and a list \"items\"");
    auto submission = version::batch::Submission();
    submission.head.id = call.requestId;
    submission.head.host = call.host;
    submission.head.path = call.path;
    submission.head.model = stringField(*object, "model").value_or("");
    submission.head.minVersion = unsignedField(*object, "min_version").value_or(0);
    submission.head.step = static_cast<std::uint32_t>(unsignedField(*object, "step").value_or(0));
    submission.head.groupCount =
        static_cast<std::uint32_t>(unsignedField(*object, "group_count").value_or(0));
    submission.items.reserve(items->size());
    for (const auto &value : *items) {
        const auto *entry = value.if_object();
        auto item = entry == nullptr ? std::nullopt : readItem(*entry);
        if (!item.has_value())
            return malformedSubmission(call, "an item or its scorer is not valid");
        submission.items.push_back(std::move(*item));
    }
    return submission;
}

auto CallProtocol::writeResults(std::size_t total, std::uint64_t position,
                                std::vector<version::batch::Result> results) const -> http::Response
{
    auto list = json::array();
    for (auto &result : results) {
        auto entry = json::object();
        entry["id"] = result.itemId;
        entry["state"] = result.lost ? "lost" : "completed";
        // Former versions of this program listed texts that are not UTF-8; one of them must not
        // make the whole page unreadable.
        entry["text"] = base::replaceInvalidUtf8(std::move(result.text));
        entry["versions"] = json::array(result.versions.begin(), result.versions.end());
        if (!result.score.empty())
            entry["score"] = base::replaceInvalidUtf8(std::move(result.score));
        list.push_back(std::move(entry));
    }
    auto body = json::object();
    body["total"] = total;
    // "next_token" is the position of the next result, not an opaque token.
    body["next_token"] = position + results.size();
    body["results"] = std::move(list);
    return http::jsonResponse(STATUS_OK, json::serialize(body));
}

auto CallProtocol::maxResultBytes() const -> std::size_t
{
    return MAX_RESULT_BYTES;
}

auto CallProtocol::writeRefusal(const request::call::Refusal &refusal,
                                const std::string &requestId) const -> http::Response
{
    auto error = json::object();
    error["code"] = base::nameOf(request::call::REFUSAL_CODE_NAMES, refusal.code);
    error["message"] = base::replaceInvalidUtf8(refusal.detail);
    error["request"] = base::replaceInvalidUtf8(requestId);
    auto body = json::object();
    body["error"] = std::move(error);
    auto response = http::jsonResponse(httpStatusFor(refusal.code), json::serialize(body));
    if (!requestId.empty())
        response.headers.push_back({ wireheaders::REQUEST_ID, requestId });
    if (refusal.retryAfter.count() > 0)
        response.headers.push_back(
            { wireheaders::RETRY_AFTER, base::concat(base::toSeconds(refusal.retryAfter)) });
    return response;
}

auto CallProtocol::writeAccepted(const std::string &requestId) const -> http::Response
{
    auto response = http::jsonResponse(STATUS_ACCEPTED, "{}");
    response.headers.push_back({ wireheaders::REQUEST_ID, requestId });
    return response;
}

auto CallProtocol::isAccepted(const http::Response &response, const std::string &requestId) const
    -> bool
{
    return response.status == STATUS_ACCEPTED
        && http::headerValue(response.headers, wireheaders::REQUEST_ID) == requestId;
}

auto CallProtocol::toServerRequest(http::Request request) const -> http::Request
{
    const auto host = http::headerValue(request.headers, "Host");
    request.headers = connection::backend::cleanHeaders(std::move(request.headers));
    request.headers.push_back({ "Host", host });
    return request;
}

auto CallProtocol::toCallerResponse(http::Response response) const -> http::Response
{
    http::removeHopByHopHeaders(response.headers);
    return response;
}

} // namespace nutmegplank::platform
