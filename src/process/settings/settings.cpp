#include "process/settings/settings.h"

#include <charconv>
#include <fstream>
#include <sstream>

#include <boost/asio/ip/address.hpp>

#include "base/text.h"

namespace nutmegplank::process::settings {

namespace {

constexpr auto PORT_RANGE = base::IntegerRange { 0, 65535 };
constexpr auto THREAD_RANGE = base::IntegerRange { 1, 64 };
constexpr auto DEFAULT_THREADS = 2;

auto isAddress(std::string_view text) -> bool
{
    auto error = boost::system::error_code();
    boost::asio::ip::make_address(std::string(text), error);
    return !error;
}

auto isLogLevel(std::string_view text) -> bool
{
    return text == "debug" || text == "info" || text == "warning" || text == "error";
}

} // namespace

auto isEndpoint(std::string_view text) -> bool
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || !isAddress(text.substr(0, colon)))
        return false;
    auto port = 0;
    const auto digits = text.substr(colon + 1);
    const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    return parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size() && port > 0
        && port <= PORT_RANGE.highest;
}

auto readFile(const std::string &path) -> absl::StatusOr<boost::json::value>
{
    auto stream = std::ifstream(path);
    if (!stream)
        return absl::NotFoundError(base::concat(path, ": cannot be read"));
    auto text = std::stringstream();
    text << stream.rdbuf();
    auto value = base::parseJson(text.str());
    if (!value.ok())
        return absl::InvalidArgumentError(base::concat(path, ": ", value.status().message()));
    return value;
}

auto readNode(base::ObjectReader &reader) -> NodeSettings
{
    auto node = reader.object("node");
    auto settings = NodeSettings();
    settings.id = node.string("id");
    settings.vm = node.string("vm");
    settings.zone = node.string("zone");
    settings.address = node.string("address");
    if (!settings.address.empty() && !isAddress(settings.address))
        node.fail("address", "must be an IP number");
    settings.httpPort = static_cast<std::uint16_t>(node.integer("http_port", PORT_RANGE));
    settings.linkPort = static_cast<std::uint16_t>(node.integer("link_port", PORT_RANGE, 0));
    settings.gossipPort = static_cast<std::uint16_t>(node.integer("gossip_port", PORT_RANGE, 0));
    settings.logService = node.string("log_service", "");
    if (!settings.logService.empty() && !isEndpoint(settings.logService))
        node.fail("log_service", "must be an IP number and a port, such as \"10.0.0.1:7000\"");
    settings.seeds = node.strings("seeds");
    for (const auto &seed : settings.seeds) {
        if (!isEndpoint(seed))
            node.fail("seeds", "must hold IP numbers with ports, such as \"10.0.0.1:7000\"");
    }
    settings.logLevel = node.string("log_level", "info");
    if (!isLogLevel(settings.logLevel))
        node.fail("log_level", "is unknown; allowed: debug, info, warning, error");
    settings.threads =
        static_cast<std::uint16_t>(node.integer("threads", THREAD_RANGE, DEFAULT_THREADS));
    reader.absorb(node);
    return settings;
}

} // namespace nutmegplank::process::settings
