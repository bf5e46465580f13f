#include "request/refusal/refusal.h"

#include <boost/json.hpp>

namespace nutmegplank::request::refusal {

namespace {

constexpr auto RETRY_SOON_MS = std::uint32_t(200);
constexpr auto RETRY_LATER_MS = std::uint32_t(1000);
constexpr auto MILLISECONDS_PER_SECOND = std::uint32_t(1000);

//! HTTP status of a code and the time after which to retry; 0 when a retry does not help.
struct CodeProperties
{
    Code code;
    std::uint32_t status;
    std::uint32_t retryAfterMs;
};

//! In the order of Code, as propertiesOf() uses the code as index.
constexpr auto CODE_PROPERTIES = std::array<CodeProperties, CODE_NAMES.size()> { {
    { Code::MalformedRequest, 400, 0 },
    { Code::MissingKey, 401, 0 },
    { Code::UnknownKey, 401, 0 },
    { Code::AmbiguousKey, 400, 0 },
    { Code::MisplacedKey, 400, 0 },
    { Code::KeyWithdrawn, 403, 0 },
    { Code::NoRoute, 404, 0 },
    { Code::NoService, 404, 0 },
    { Code::ConfigurationUnconfirmed, 503, RETRY_LATER_MS },
    { Code::RolloutsRefused, 503, RETRY_LATER_MS },
    { Code::Overloaded, 429, RETRY_LATER_MS },
    { Code::DeadlineExceeded, 504, 0 },
    { Code::NoDispatcher, 503, RETRY_LATER_MS },
    { Code::NoServer, 503, RETRY_LATER_MS },
    { Code::ServerUnreachable, 502, RETRY_SOON_MS },
    { Code::ServerDied, 502, RETRY_SOON_MS },
    { Code::TruncatedAnswer, 502, RETRY_SOON_MS },
    { Code::Silent, 504, RETRY_SOON_MS },
    { Code::DispatcherLost, 502, RETRY_SOON_MS },
    { Code::Cancelled, 503, RETRY_SOON_MS },
    { Code::CallerGone, 499, 0 },
    { Code::Quarantined, 422, 0 },
    { Code::InProgress, 409, RETRY_LATER_MS },
    { Code::IdempotencyKeyReused, 422, 0 },
    { Code::IdempotencyUnknown, 409, 0 },
    { Code::IdempotencyUnavailable, 503, RETRY_LATER_MS },
    { Code::ShuttingDown, 503, RETRY_SOON_MS },
} };

auto propertiesOf(Code code) -> const CodeProperties &
{
    return CODE_PROPERTIES.at(static_cast<std::size_t>(code));
}

} // namespace

auto makeRefusal(Code code, wire::Ran ran, Detail detail) -> execution::Refusal
{
    const auto &properties = propertiesOf(code);
    auto refusal = execution::Refusal();
    refusal.code = std::string(base::nameOf(CODE_NAMES, code));
    refusal.ran = ran;
    refusal.httpStatus = properties.status;
    refusal.message = std::move(detail.message);
    refusal.step = std::move(detail.step);
    refusal.peer = std::move(detail.peer);
    refusal.retryAfterMs = detail.retryAfterMs > 0 ? detail.retryAfterMs : properties.retryAfterMs;
    return refusal;
}

auto toJson(const execution::Refusal &refusal, const std::string &requestId) -> std::string
{
    const auto error = boost::json::object {
        { "code", refusal.code },
        { "ran", refusal.ran == wire::RAN_NOT_RUN ? "not_run" : "unknown" },
        { "message", refusal.message },
        { "retry_after_ms", refusal.retryAfterMs },
        { "step", refusal.step },
        { "peer", refusal.peer },
        { "request_id", requestId },
    };
    return boost::json::serialize(boost::json::object { { "error", error } });
}

auto toResponse(const execution::Refusal &refusal, const std::string &requestId)
    -> connection::http::Response
{
    auto response = connection::http::jsonResponse(refusal.httpStatus, toJson(refusal, requestId));
    response.headers.push_back({ "X-Request-Id", requestId });
    if (refusal.retryAfterMs > 0) {
        const auto seconds =
            (refusal.retryAfterMs + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND;
        response.headers.push_back({ "Retry-After", std::to_string(seconds) });
    }
    return response;
}

} // namespace nutmegplank::request::refusal
