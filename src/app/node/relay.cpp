#include "app/node/relay.h"

#include "base/hash.h"
#include "base/status.h"
#include "connection/http/httpclient.h"
#include "process/logging/logging.h"

namespace nutmegplank::app::node {

namespace {

namespace http = connection::http;

constexpr auto RELAY_HEADER = "X-Nutmegplank-Relayed";
//! The other machine appends twice, some milliseconds each.
constexpr auto RELAY_TIME = std::chrono::milliseconds(1500);
constexpr auto CONNECT_TIME = std::chrono::milliseconds(300);
constexpr auto FIRST_ERROR = 300U;
constexpr auto STATUS_UNAVAILABLE = 503U;

} // namespace

Relay::Relay(std::function<std::vector<std::string>()> peers, process::metrics::Registry &metrics)
    : m_peers(std::move(peers))
    , m_relayed(metrics.counter("nutmegplank_relayed_total",
                                "Calls handed to another machine of the system."))
{ }

auto Relay::wasRelayed(const http::Request &request) -> bool
{
    return !http::headerValue(request.headers, RELAY_HEADER).empty();
}

auto Relay::send(http::Request request) -> boost::asio::awaitable<RelayResult>
{
    auto result = RelayResult();
    const auto peers = m_peers();
    if (peers.empty())
        co_return result;
    const auto &peer = peers[base::hash64(std::to_string(++m_turn)) % peers.size()];
    http::removeHeader(request.headers, "Connection");
    http::removeHeader(request.headers, "Content-Length");
    http::removeHeader(request.headers, "Transfer-Encoding");
    request.headers.push_back({ RELAY_HEADER, "1" });
    m_relayed.add();
    auto options = http::ConnectOptions();
    options.timeout = CONNECT_TIME;
    auto connection = co_await http::connect(peer, options);
    if (!connection.ok())
        co_return result;
    result.end = RelayEnd::Unknown;
    const auto sent = co_await (*connection)->send(request, RELAY_TIME);
    if (!sent.ok())
        co_return result;
    auto head = co_await (*connection)->readHead(RELAY_TIME);
    if (!head.ok())
        co_return result;
    while (true) {
        auto part = co_await (*connection)->readBody(RELAY_TIME);
        if (!part.ok())
            co_return result;
        if (!part->has_value())
            break;
        head->body += **part;
    }
    (*connection)->close();
    if (head->status == STATUS_UNAVAILABLE)
        result.end = RelayEnd::Refused;
    if (head->status < FIRST_ERROR) {
        result.end = RelayEnd::Answered;
        result.response = std::move(*head);
    }
    co_return result;
}

} // namespace nutmegplank::app::node
