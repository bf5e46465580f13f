#include "app/gateway/requestspec.h"

#include <charconv>

#include <boost/json.hpp>

#include "base/hash.h"
#include "base/text.h"
#include "request/refusal/refusal.h"

namespace nutmegplank::app::gateway {

namespace {

using request::execution::RequestSpec;
using version::configuration::ServiceKind;

constexpr auto LONGEST_ID = std::size_t(128);
constexpr auto LONGEST_DEADLINE = std::chrono::milliseconds(std::chrono::hours(1));
//! Prompts that agree up to here are likely to share cached tokens.
constexpr auto PREFIX_CHARACTERS = std::size_t(256);

auto isPlainId(std::string_view text) -> bool
{
    const auto isPlain = [](char letter) {
        return std::isalnum(static_cast<unsigned char>(letter)) != 0 || letter == '-'
            || letter == '_' || letter == '.' || letter == ':';
    };
    return !text.empty() && text.size() <= LONGEST_ID
        && std::all_of(text.begin(), text.end(), isPlain);
}

auto parseDeadline(const std::string &text) -> std::optional<base::Duration>
{
    auto milliseconds = std::int64_t(0);
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || milliseconds <= 0)
        return std::nullopt;
    return std::chrono::milliseconds(std::min(milliseconds, LONGEST_DEADLINE.count()));
}

//! Fills in what the body of a request to a model engine says.
auto readEngineBody(RequestSpec &spec) -> void
{
    auto error = boost::system::error_code();
    const auto body = boost::json::parse(spec.body, error);
    if (error || !body.is_object())
        return;
    const auto &fields = body.get_object();
    if (const auto *stream = fields.if_contains("stream"); stream != nullptr && stream->is_bool())
        spec.stream = stream->get_bool();
    if (const auto *tokens = fields.if_contains("max_tokens");
        tokens != nullptr && tokens->is_int64() && tokens->get_int64() > 0)
        spec.expectedTokens =
            static_cast<std::uint32_t>(std::min<std::int64_t>(tokens->get_int64(), UINT32_MAX));
    if (const auto *prompt = fields.if_contains("prompt");
        prompt != nullptr && prompt->is_string()) {
        const auto text = std::string_view(prompt->get_string());
        spec.prefixKey = std::to_string(base::hash64(text.substr(0, PREFIX_CHARACTERS)));
    }
}

} // namespace

auto requestIdFor(const connection::http::Request &request) -> std::string
{
    const auto given = connection::http::headerValue(request.headers, "X-Request-Id");
    return isPlainId(given) ? given : base::randomId();
}

auto makeSpec(const request::admission::AdmittedRequest &admitted, std::string requestId,
              const std::string &deadlineText, base::TimePoint now)
    -> std::variant<RequestSpec, request::execution::Refusal>
{
    auto spec = RequestSpec();
    auto time = admitted.service.requestTimeout;
    if (!deadlineText.empty()) {
        const auto given = parseDeadline(deadlineText);
        if (!given.has_value())
            return request::refusal::makeRefusal(
                request::refusal::Code::MalformedRequest, wire::RAN_NOT_RUN,
                { "X-Deadline-Ms must be a positive number", "request.read", "", 0 });
        time = *given;
    }
    spec.deadline = now + time;
    spec.workspace = admitted.workspace;
    spec.service = admitted.service.name;
    spec.method = admitted.request.method;
    spec.target = admitted.request.target;
    spec.headers = admitted.request.headers;
    connection::http::removeHeader(spec.headers, "X-Request-Id");
    spec.headers.push_back({ "X-Request-Id", requestId });
    spec.requestId = std::move(requestId);
    spec.body = admitted.request.body;
    spec.idempotent = admitted.idempotent;
    if (admitted.service.kind == ServiceKind::Engine)
        readEngineBody(spec);
    return spec;
}

} // namespace nutmegplank::app::gateway
