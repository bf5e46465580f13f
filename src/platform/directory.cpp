#include "platform/directory.h"

#include <boost/json.hpp>

namespace nutmegplank::platform {

auto writeAddresses(const std::vector<std::string> &addresses, base::Duration keepFor)
    -> connection::http::Response
{
    auto body = boost::json::object();
    body["addresses"] = boost::json::array(addresses.begin(), addresses.end());
    body["ttl_s"] = base::toSeconds(keepFor);
    return connection::http::jsonResponse(200, boost::json::serialize(body));
}

auto isDirectoryRequest(const connection::http::Request &request) -> bool
{
    return connection::http::pathOf(request.target) == "/v1/resolve";
}

auto isReadinessProbe(const connection::http::Request &request) -> bool
{
    return connection::http::pathOf(request.target) == "/v1/ready";
}

} // namespace nutmegplank::platform
