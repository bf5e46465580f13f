#include "app/node/relay.h"

#include "base/hash.h"
#include "base/status.h"
#include "connection/http/httpclient.h"
#include "process/clock/clock.h"
#include "process/logging/logging.h"

namespace nutmegplank::app::node {

namespace {

namespace http = connection::http;
namespace logging = process::logging;

constexpr auto RELAY_HEADER = "X-Nutmegplank-Relayed";
//! The other machine appends twice, some milliseconds each.
constexpr auto RELAY_TIME = std::chrono::milliseconds(1500);
constexpr auto CONNECT_TIME = std::chrono::milliseconds(300);
//! A relayed call is answered with a line.
constexpr auto MAX_ANSWER_BYTES = std::uint64_t(64 * 1024);
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

auto Relay::send(http::Request request, std::function<bool(const http::Response &)> isGood)
    -> boost::asio::awaitable<RelayEnd>
{
    auto end = RelayEnd::NoPeer;
    const auto peers = m_peers();
    if (peers.empty())
        co_return end;
    const auto &peer = peers[base::hash64(std::to_string(++m_turn)) % peers.size()];
    http::removeHopByHopHeaders(request.headers);
    request.headers.push_back({ RELAY_HEADER, "1" });
    m_relayed.add();
    auto options = http::ConnectOptions();
    options.timeout = CONNECT_TIME;
    options.bodyBytes = MAX_ANSWER_BYTES;
    auto connection = co_await http::connect(peer, options);
    if (!connection.ok()) {
        logging::info("relay.unreachable",
                      { { "peer", peer }, { "problem", base::describe(connection.status()) } });
        co_return end;
    }
    end = RelayEnd::Unknown;
    auto response =
        co_await http::exchangeWhole(**connection, request, process::clock::now() + RELAY_TIME);
    (*connection)->close();
    if (!response.ok()) {
        logging::info("relay.unanswered",
                      { { "peer", peer }, { "problem", base::describe(response.status()) } });
        co_return end;
    }
    if (response->status == STATUS_UNAVAILABLE)
        end = RelayEnd::Refused;
    else if (isGood(*response))
        end = RelayEnd::Answered;
    else
        logging::warning("relay.odd_answer", { { "peer", peer }, { "status", response->status } });
    co_return end;
}

} // namespace nutmegplank::app::node
