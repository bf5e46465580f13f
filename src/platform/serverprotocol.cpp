#include "platform/serverprotocol.h"

#include <charconv>
#include <cmath>

#include "platform/wireheaders.h"

namespace nutmegplank::platform {

namespace {

namespace http = connection::http;

constexpr auto STATUS_MISDIRECTED = 421U;

auto setHeader(http::Request &request, std::string_view name, std::string value) -> void
{
    http::removeHeader(request.headers, name);
    request.headers.push_back({ std::string(name), std::move(value) });
}

auto readLimit(const std::string &value) -> std::optional<double>
{
    auto limit = 0.0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), limit);
    if (error != std::errc() || end != value.data() + value.size() || !std::isfinite(limit)
        || limit < 0)
        return std::nullopt;
    return limit;
}

} // namespace

auto ServerProtocol::addEnvelope(http::Request &request,
                                 const request::serverprotocol::Envelope &envelope) const -> void
{
    setHeader(request, wireheaders::EXPECTED_SERVER, envelope.serverId);
    const auto left = std::max<std::int64_t>(1, base::toMilliseconds(envelope.timeLeft));
    setHeader(request, wireheaders::DEADLINE, std::to_string(left));
    http::removeHeader(request.headers, wireheaders::WORKSPACE);
    if (!envelope.workspace.empty())
        setHeader(request, wireheaders::WORKSPACE, envelope.workspace);
    if (!envelope.requestId.empty())
        setHeader(request, wireheaders::REQUEST_ID, envelope.requestId);
    if (envelope.urgency.has_value())
        setHeader(request, wireheaders::REQUEST_PRIORITY, std::to_string(*envelope.urgency));
    if (envelope.lastEvent.has_value())
        setHeader(request, wireheaders::LAST_EVENT_ID, std::to_string(*envelope.lastEvent));
    // A caller's own would make sound servers refuse the request as if they were others.
    http::removeHeader(request.headers, wireheaders::EXPECTED_WEIGHT_VERSION);
    if (envelope.weightVersion.has_value())
        setHeader(request, wireheaders::EXPECTED_WEIGHT_VERSION,
                  std::to_string(*envelope.weightVersion));
}

auto ServerProtocol::readHead(const http::Response &head) const
    -> request::serverprotocol::ResponseMetadata
{
    auto metadata = request::serverprotocol::ResponseMetadata();
    metadata.requestId = http::headerValue(head.headers, wireheaders::REQUEST_ID);
    metadata.wrongServer = head.status == STATUS_MISDIRECTED;
    metadata.notRun = !http::headerValue(head.headers, wireheaders::NOT_EXECUTED).empty();
    metadata.stamp = http::headerValue(head.headers, wireheaders::SERVER_STAMP);
    metadata.fromServer = !metadata.stamp.empty();
    const auto version = http::headerValue(head.headers, wireheaders::WEIGHT_VERSION);
    auto number = std::uint64_t(0);
    const auto [end, error] =
        std::from_chars(version.data(), version.data() + version.size(), number);
    if (!version.empty() && error == std::errc())
        metadata.weightVersion = number;
    metadata.leaving = http::headerValue(head.headers, wireheaders::SERVER_LEAVING) == "1";
    metadata.requestLimit = readLimit(http::headerValue(head.headers, wireheaders::SERVER_LIMIT));
    return metadata;
}

auto ServerProtocol::versionField() const -> std::string
{
    return "x-weight-versions";
}

} // namespace nutmegplank::platform
