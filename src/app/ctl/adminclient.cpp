#include "app/ctl/adminclient.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "base/jsonreader.h"
#include "base/status.h"
#include "base/text.h"
#include "connection/http/httpclient.h"

namespace nutmegplank::app::ctl {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;

//! Longer than a controller waits for the log.
constexpr auto CALL_TIMEOUT = std::chrono::seconds(12);
constexpr auto CONNECT_TIMEOUT = std::chrono::seconds(2);
constexpr auto ROUNDS = 2;
constexpr auto HTTP_UNAVAILABLE = 503U;

} // namespace

auto AdminAnswer::problem() const -> std::string
{
    const auto *error = body.if_contains("error");
    const auto *message = error != nullptr && error->is_object()
        ? error->as_object().if_contains("message")
        : nullptr;
    if (message == nullptr || !message->is_string())
        return {};
    return std::string(message->as_string());
}

AdminClient::AdminClient(std::vector<std::string> controllers, std::string key,
                         std::shared_ptr<asio::ssl::context> tls)
    : m_controllers(std::move(controllers))
    , m_key(std::move(key))
    , m_tls(std::move(tls))
{ }

auto AdminClient::get(const std::string &call) -> absl::StatusOr<AdminAnswer>
{
    auto request = http::Request();
    request.target = base::concat("/admin/v1/", call);
    return this->call(request);
}

auto AdminClient::post(const std::string &call, const boost::json::object &body)
    -> absl::StatusOr<AdminAnswer>
{
    auto request = http::Request();
    request.method = "POST";
    request.target = base::concat("/admin/v1/", call);
    request.headers.push_back(http::Header { "Content-Type", "application/json" });
    request.body = boost::json::serialize(body);
    return this->call(request);
}

auto AdminClient::call(const http::Request &request) -> absl::StatusOr<AdminAnswer>
{
    auto answer = absl::StatusOr<AdminAnswer>(absl::UnavailableError("no controller is named"));
    for (auto attempt = std::size_t(0); attempt < m_controllers.size() * ROUNDS; ++attempt) {
        const auto index = (m_preferred + attempt) % m_controllers.size();
        answer = callOne(m_controllers[index], request);
        if (!answer.ok() || answer->status == HTTP_UNAVAILABLE)
            continue;
        m_preferred = index;
        return answer;
    }
    return answer;
}

auto AdminClient::callOne(const std::string &controller, const http::Request &request)
    -> absl::StatusOr<AdminAnswer>
{
    auto context = asio::io_context();
    auto options = http::ConnectOptions();
    options.timeout = CONNECT_TIMEOUT;
    options.tls = m_tls;
    auto sent = request;
    sent.headers.push_back(http::Header { "Host", controller });
    sent.headers.push_back(http::Header { "Authorization", base::concat("Bearer ", m_key) });
    auto result = absl::StatusOr<http::Response>(absl::UnavailableError("not asked"));
    asio::co_spawn(context, http::fetch(controller, std::move(sent), CALL_TIMEOUT, options),
                   [&result](std::exception_ptr, absl::StatusOr<http::Response> response) {
                       result = std::move(response);
                   });
    context.run();
    if (!result.ok())
        return result.status();
    const auto value = base::parseJson(result->body);
    if (!value.ok() || !value->is_object())
        return base::makeError(absl::StatusCode::kUnavailable,
                               base::concat("HTTP status ", result->status, " without JSON"),
                               { "admin.call", controller });
    return AdminAnswer { result->status, value->as_object() };
}

} // namespace nutmegplank::app::ctl
