#include "process/inventory/internal/vmlistinventory.h"

#include "base/jsonreader.h"
#include "base/status.h"
#include "base/text.h"
#include "connection/http/httpclient.h"
#include "process/logging/logging.h"

namespace nutmegplank::process::inventory {

namespace {

namespace asio = boost::asio;

constexpr auto POLL_WAIT = std::chrono::milliseconds(5000);
constexpr auto POLL_TIMEOUT = std::chrono::milliseconds(8000);
constexpr auto RETRY_PAUSE = std::chrono::milliseconds(200);
constexpr auto HTTP_OK = 200U;

} // namespace

VmListInventory::VmListInventory(asio::io_context &context, std::string endpoint)
    : m_strand(asio::make_strand(context))
    , m_endpoint(std::move(endpoint))
    , m_view(m_table.view())
{ }

auto VmListInventory::start() -> void
{
    asio::co_spawn(m_strand, follow(), asio::detached);
}

auto VmListInventory::onChange(std::function<void(ServerViewPtr)> handler) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_handlers.push_back(std::move(handler));
}

auto VmListInventory::publish() -> void
{
    const auto next = m_table.view();
    m_view.store(next);
    auto handlers = std::vector<std::function<void(ServerViewPtr)>>();
    {
        const auto lock = std::lock_guard(m_mutex);
        handlers = m_handlers;
    }
    for (const auto &handler : handlers)
        handler(next);
}

auto VmListInventory::poll() -> asio::awaitable<absl::Status>
{
    auto request = connection::http::Request();
    request.target = base::concat("/v1/vms?since=", m_table.revision(),
                                  "&wait_ms=", base::toMilliseconds(POLL_WAIT));
    const auto response = co_await connection::http::fetch(m_endpoint, request, POLL_TIMEOUT);
    if (!response.ok())
        co_return response.status();
    if (response->status != HTTP_OK)
        co_return base::makeError(absl::StatusCode::kUnavailable,
                                  base::concat("status ", response->status),
                                  { "inventory.poll", m_endpoint });
    const auto answer = base::parseJson(response->body);
    if (!answer.ok())
        co_return answer.status();
    const auto before = m_table.revision();
    const auto applied = m_table.apply(*answer);
    if (applied.ok() && m_table.revision() != before)
        publish();
    co_return applied;
}

auto VmListInventory::follow() -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(m_strand);
    auto healthy = true;
    while (true) {
        const auto polled = co_await poll();
        if (polled.ok() != healthy)
            logging::info("inventory.poll",
                          { { "ok", polled.ok() }, { "error", base::describe(polled) } });
        healthy = polled.ok();
        if (polled.ok())
            continue;
        timer.expires_after(RETRY_PAUSE);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

auto makeVmListInventory(asio::io_context &context, std::string endpoint)
    -> std::unique_ptr<IInventory>
{
    auto inventory = std::make_unique<VmListInventory>(context, std::move(endpoint));
    inventory->start();
    return inventory;
}

} // namespace nutmegplank::process::inventory
