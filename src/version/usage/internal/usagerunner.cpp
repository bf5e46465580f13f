#include "version/usage/usagerunner.h"

#include "base/hash.h"
#include "base/status.h"
#include "base/text.h"
#include "process/clock/clock.h"
#include "process/logging/logging.h"
#include "version/usage/internal/usageloop.h"

namespace nutmegplank::version::usage {

namespace {

namespace asio = boost::asio;

constexpr auto APPEND_TIMEOUT = base::Duration(std::chrono::seconds(5));
constexpr auto TICKS_PER_WINDOW = 20;
constexpr auto MAX_TICK_INTERVAL = base::Duration(std::chrono::milliseconds(500));
constexpr auto HTTP_OK = 200U;
constexpr auto HTTP_CONFLICT = 409U;

} // namespace

UsageRunner::UsageRunner(asio::io_context &context, UsageDependencies dependencies,
                         UsageOptions options)
    : m_loop(std::make_shared<Loop>(context, dependencies, std::move(options)))
{
    m_loop->start();
}

UsageRunner::~UsageRunner()
{
    m_loop->stop();
}

auto UsageRunner::take(const wire::Envelope &message) -> void
{
    const auto isUsageMessage = message.has_usage_counters() || message.has_usage_collect()
        || message.has_usage_collected();
    if (isUsageMessage)
        m_loop->take(message);
}

UsageRunner::Loop::Loop(asio::io_context &context, UsageDependencies dependencies,
                        UsageOptions options)
    : m_strand(asio::make_strand(context))
    , m_timer(m_strand)
    , m_collectTimer(m_strand)
    , m_dependencies(dependencies)
    , m_options(std::move(options))
    , m_windowsClosed(dependencies.metrics.counter("controller_usage_windows_closed_total",
                                                   "Usage windows closed in the log."))
    , m_windowsReported(dependencies.metrics.counter("controller_usage_windows_reported_total",
                                                     "Usage windows taken by the platform."))
    , m_windowConflicts(
          dependencies.metrics.counter("controller_usage_windows_conflicting_total",
                                       "Windows that the platform holds with other figures."))
{ }

auto UsageRunner::Loop::start() -> void
{
    asio::co_spawn(
        m_strand, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

auto UsageRunner::Loop::stop() -> void
{
    m_stopped = true;
    asio::post(m_strand, [self = shared_from_this()] { self->m_timer.cancel(); });
}

auto UsageRunner::Loop::take(wire::Envelope message) -> void
{
    asio::post(m_strand, [self = shared_from_this(), message = std::move(message)] {
        self->handle(message);
    });
}

auto UsageRunner::Loop::handle(const wire::Envelope &message) -> void
{
    if (message.has_usage_counters())
        m_table.merge(message.usage_counters());
    if (message.has_usage_collect())
        replyToCollect(message);
    if (!message.has_usage_collected())
        return;
    for (const auto &counters : message.usage_collected().processes())
        m_table.merge(counters);
    if (message.usage_collected().call_id() != m_collectCallId)
        return;
    m_pendingControllers.erase(message.from());
    if (m_pendingControllers.empty())
        m_collectTimer.cancel();
}

auto UsageRunner::Loop::replyToCollect(const wire::Envelope &message) -> void
{
    auto reply = wire::Envelope();
    auto *collected = reply.mutable_usage_collected();
    collected->set_call_id(message.usage_collect().call_id());
    for (auto &counters : m_table.collect())
        *collected->add_processes() = std::move(counters);
    sendMessage(message.reply_link(), std::move(reply));
}

auto UsageRunner::Loop::sendMessage(const std::string &peer, wire::Envelope message) -> void
{
    const auto self = m_dependencies.membership.self();
    message.set_from(self.id);
    message.set_incarnation(self.incarnation);
    message.set_reply_link(m_dependencies.link.localAddress());
    // The next collection makes up for a lost message, because counters only grow.
    static_cast<void>(m_dependencies.link.send(peer, std::move(message)));
}

auto UsageRunner::Loop::run() -> asio::awaitable<void>
{
    while (!m_stopped) {
        co_await tick(process::clock::now());
        m_timer.expires_after(
            std::min(MAX_TICK_INTERVAL, base::Duration(m_options.window / TICKS_PER_WINDOW)));
        co_await m_timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

auto UsageRunner::Loop::tick(base::TimePoint now) -> asio::awaitable<void>
{
    const auto number = m_dependencies.caller.observe(now);
    if (number != m_fencingNumber) {
        m_windowStart = now;
        m_conflictingWindows.clear();
    }
    m_fencingNumber = number;
    if (!number)
        co_return;
    if (m_dependencies.caller.mayCall(now, m_options.reportingEndpoint.checksFencing)) {
        const auto windows = unreportedWindows(*m_dependencies.log.state());
        for (const auto &window : windows) {
            if (!m_conflictingWindows.contains(window.number) && !co_await reportWindow(window))
                break;
        }
    }
    if (now - m_windowStart < m_options.window)
        co_return;
    m_windowStart = now;
    co_await collectFromControllers();
    co_await appendWindow(*number);
}

auto UsageRunner::Loop::collectFromControllers() -> asio::awaitable<void>
{
    m_collectCallId = base::randomId();
    m_pendingControllers.clear();
    const auto view = m_dependencies.membership.view();
    const auto ownId = m_dependencies.membership.self().id;
    for (const auto &id : view->liveIds(process::membership::Role::Controller)) {
        if (id == ownId)
            continue;
        auto message = wire::Envelope();
        message.mutable_usage_collect()->set_call_id(m_collectCallId);
        sendMessage(view->find(id)->linkAddress, std::move(message));
        m_pendingControllers.insert(id);
    }
    if (m_pendingControllers.empty())
        co_return;
    m_collectTimer.expires_after(m_options.collectTimeout);
    co_await m_collectTimer.async_wait(asio::as_tuple(asio::use_awaitable));
    if (!m_pendingControllers.empty())
        process::logging::info("usage.collect_incomplete",
                               { { "silent", m_pendingControllers.size() } });
}

auto UsageRunner::Loop::appendWindow(std::uint64_t fencingNumber) -> asio::awaitable<void>
{
    const auto state = m_dependencies.log.state();
    const auto number = nextWindowNumber(*state);
    const auto end = process::clock::wallMilliseconds();
    const auto previousWindow = state->windows.find(number - 1);
    const auto start = previousWindow == state->windows.end()
        ? end - base::toMilliseconds(m_options.window)
        : previousWindow->second.endMs;
    const auto content = closeWindow(m_table, state->usageMarks, number, start, end);
    // Each attempt appends a record with its own id; if several carry the same window number,
    // replay uses the first.
    const auto id = base::concat("usage/", fencingNumber, "/", number, "/", ++m_recordSequence);
    auto record = makeWindowRecord(content, fencingNumber);
    const auto appended = co_await m_dependencies.log.append(state::RecordKind::UsageWindow, id,
                                                             std::move(record), APPEND_TIMEOUT);
    if (!appended.ok()) {
        process::logging::warning(
            "usage.window_not_closed",
            { { "number", number }, { "problem", base::describe(appended.status()) } });
        co_return;
    }
    m_windowsClosed.add();
}

auto UsageRunner::Loop::reportWindow(state::UsageWindowState window) -> asio::awaitable<bool>
{
    auto makeRequest = command::FencedRequest([this, window](std::uint64_t number) {
        return makeWindowReport(window, number, m_options.reporterId);
    });
    const auto response =
        co_await m_dependencies.caller.call(m_options.reportingEndpoint, std::move(makeRequest));
    if (!response.ok()) {
        process::logging::warning(
            "usage.report_failed",
            { { "number", window.number }, { "problem", base::describe(response.status()) } });
        co_return false;
    }
    if (response->status == HTTP_CONFLICT) {
        m_windowConflicts.add();
        m_conflictingWindows.insert(window.number);
        process::logging::error("usage.report_conflict", { { "number", window.number } });
        co_return true;
    }
    if (response->status != HTTP_OK)
        co_return false;
    m_windowsReported.add();
    co_return co_await appendReported(window.number);
}

auto UsageRunner::Loop::appendReported(std::uint64_t number) -> asio::awaitable<bool>
{
    auto record = boost::json::object { { "number", number }, { "reported", true } };
    const auto id = base::concat("usage/", number, "/reported");
    const auto appended = co_await m_dependencies.log.append(state::RecordKind::UsageWindow, id,
                                                             std::move(record), APPEND_TIMEOUT);
    co_return appended.ok();
}

} // namespace nutmegplank::version::usage
