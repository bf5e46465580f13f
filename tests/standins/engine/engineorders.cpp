#include "connection/http/httpclient.h"
#include "engine/engineserver.h"
#include "engine/jsonfields.h"

// The part of the engine that takes orders and loads weights.
namespace nutmegplank::standins {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;
namespace json = boost::json;

constexpr auto STORE_TIME = std::chrono::seconds(10);
constexpr auto STORE_PAUSE = std::chrono::milliseconds(50);
constexpr auto STATUS_CONFLICT = 409U;

} // namespace

auto EngineServer::takeOrder(const std::string &body) -> Response
{
    auto error = json::error_code();
    const auto parsed = json::parse(body, error);
    if (error || !parsed.is_object())
        return http::jsonResponse(400, R"({"error":"no JSON"})");
    const auto &object = parsed.get_object();
    auto order = Order();
    order.id = textIn(object, "order_id");
    order.kind = textIn(object, "kind");
    order.model = textIn(object, "model");
    order.version = numberIn(object, "version");
    order.source = textIn(object, "source");
    const auto number = numberIn(object, "fencing_number");
    auto &newest = m_fencing[order.model];
    if (m_options.checksFencing && number < newest) {
        ++m_refusedOrders;
        const auto answer = json::object { { "newest", newest } };
        return http::jsonResponse(STATUS_CONFLICT, json::serialize(answer));
    }
    newest = std::max(newest, number);
    const auto isNew = m_orders.insert(order.id).second;
    if (isNew && order.kind == "load_model")
        m_options.model = order.model;
    if (isNew && order.kind == "load_weights")
        asio::co_spawn(m_context, carryOut(std::move(order)), asio::detached);
    return http::jsonResponse(202, "{}");
}

auto EngineServer::carryOut(Order order) -> asio::awaitable<void>
{
    const auto bootId = m_life.bootId();
    const auto read = co_await readWeights(order.source);
    co_await pause(m_options.load);
    co_await thawed();
    const auto fails = m_loadsToFail > 0;
    if (fails)
        --m_loadsToFail;
    if (read && !fails && bootId == m_life.bootId()) {
        m_version = order.version;
        co_return;
    }
    // A load that failed may be ordered again under the same id.
    m_orders.erase(order.id);
}

auto EngineServer::readWeights(std::string source) -> asio::awaitable<bool>
{
    if (m_options.weightStore.empty())
        co_return true;
    const auto deadline = now() + STORE_TIME;
    while (now() < deadline) {
        auto request = Request();
        request.target = "/v1/weights/" + source;
        request.headers.push_back({ "Connection", "close" });
        const auto answer = co_await http::fetch(m_options.weightStore, request, STORE_TIME);
        if (answer.ok() && answer->status == 200)
            co_return true;
        co_await pause(STORE_PAUSE);
    }
    co_return false;
}

} // namespace nutmegplank::standins
