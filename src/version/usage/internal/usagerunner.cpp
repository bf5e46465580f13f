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

constexpr auto APPEND_TIME = base::Duration(std::chrono::seconds(5));
constexpr auto TICKS_PER_WINDOW = 20;
constexpr auto LONGEST_TICK = base::Duration(std::chrono::milliseconds(500));
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
    const auto wanted = message.has_usage_counters() || message.has_usage_collect()
        || message.has_usage_collected();
    if (wanted)
        m_loop->take(message);
}

UsageRunner::Loop::Loop(asio::io_context &context, UsageDependencies dependencies,
                        UsageOptions options)
    : m_strand(asio::make_strand(context))
    , m_timer(m_strand)
    , m_collected(m_strand)
    , m_dependencies(dependencies)
    , m_options(std::move(options))
    , m_closed(dependencies.metrics.counter("controller_usage_windows_closed_total",
                                            "Usage windows closed in the log."))
    , m_reported(dependencies.metrics.counter("controller_usage_windows_reported_total",
                                              "Usage windows taken by the platform."))
    , m_conflicting(
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
        answer(message);
    if (!message.has_usage_collected())
        return;
    for (const auto &counters : message.usage_collected().processes())
        m_table.merge(counters);
    if (message.usage_collected().call_id() != m_callId)
        return;
    m_awaited.erase(message.from());
    if (m_awaited.empty())
        m_collected.cancel();
}

auto UsageRunner::Loop::answer(const wire::Envelope &message) -> void
{
    auto reply = wire::Envelope();
    auto *collected = reply.mutable_usage_collected();
    collected->set_call_id(message.usage_collect().call_id());
    for (auto &counters : m_table.collect())
        *collected->add_processes() = std::move(counters);
    post(message.reply_link(), std::move(reply));
}

auto UsageRunner::Loop::post(const std::string &peer, wire::Envelope message) -> void
{
    const auto self = m_dependencies.membership.self();
    message.set_from(self.id);
    message.set_incarnation(self.incarnation);
    message.set_reply_link(m_dependencies.link.localAddress());
    // What is lost now comes with the next collection: counters only grow.
    static_cast<void>(m_dependencies.link.send(peer, std::move(message)));
}

auto UsageRunner::Loop::run() -> asio::awaitable<void>
{
    while (!m_stopped) {
        co_await tick(process::clock::now());
        m_timer.expires_after(
            std::min(LONGEST_TICK, base::Duration(m_options.window / TICKS_PER_WINDOW)));
        co_await m_timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

auto UsageRunner::Loop::tick(base::TimePoint now) -> asio::awaitable<void>
{
    const auto number = m_dependencies.caller.observe(now);
    if (number != m_number) {
        m_windowBegan = now;
        m_conflicts.clear();
    }
    m_number = number;
    if (!number)
        co_return;
    if (m_dependencies.caller.mayCall(now, m_options.reporting.checksFencing)) {
        const auto windows = unreported(*m_dependencies.log.state());
        for (const auto &window : windows) {
            if (!m_conflicts.contains(window.number) && !co_await report(window))
                break;
        }
    }
    if (now - m_windowBegan < m_options.window)
        co_return;
    m_windowBegan = now;
    co_await collectFromOthers();
    co_await close(*number);
}

auto UsageRunner::Loop::collectFromOthers() -> asio::awaitable<void>
{
    m_callId = base::randomId();
    m_awaited.clear();
    const auto view = m_dependencies.membership.view();
    const auto own = m_dependencies.membership.self().id;
    for (const auto &id : view->liveIds(process::membership::Role::Controller)) {
        if (id == own)
            continue;
        auto message = wire::Envelope();
        message.mutable_usage_collect()->set_call_id(m_callId);
        post(view->find(id)->linkAddress, std::move(message));
        m_awaited.insert(id);
    }
    if (m_awaited.empty())
        co_return;
    m_collected.expires_after(m_options.collectTime);
    co_await m_collected.async_wait(asio::as_tuple(asio::use_awaitable));
    if (!m_awaited.empty())
        process::logging::info("usage.collect_incomplete", { { "silent", m_awaited.size() } });
}

auto UsageRunner::Loop::close(std::uint64_t fencingNumber) -> asio::awaitable<void>
{
    const auto state = m_dependencies.log.state();
    const auto number = nextNumber(*state);
    const auto end = process::clock::wallMilliseconds();
    const auto before = state->windows.find(number - 1);
    const auto start = before == state->windows.end() ? end - base::toMilliseconds(m_options.window)
                                                      : before->second.endMs;
    const auto content = closeWindow(m_table, state->usageMarks, number, start, end);
    // Each try is a record of its own: of several with one number, replay takes the first.
    const auto id = base::concat("usage/", fencingNumber, "/", number, "/", ++m_sequence);
    auto record = windowRecord(content, fencingNumber);
    const auto appended = co_await m_dependencies.log.append(state::RecordKind::UsageWindow, id,
                                                             std::move(record), APPEND_TIME);
    if (!appended.ok()) {
        process::logging::warning(
            "usage.window_not_closed",
            { { "number", number }, { "problem", base::describe(appended.status()) } });
        co_return;
    }
    m_closed.add();
}

auto UsageRunner::Loop::report(state::UsageWindowState window) -> asio::awaitable<bool>
{
    auto build = command::FencedRequest([this, window](std::uint64_t number) {
        return windowReport(window, number, m_options.reporter);
    });
    const auto response =
        co_await m_dependencies.caller.call(m_options.reporting, std::move(build));
    if (!response.ok()) {
        process::logging::warning(
            "usage.no_answer",
            { { "number", window.number }, { "problem", base::describe(response.status()) } });
        co_return false;
    }
    if (response->status == HTTP_CONFLICT) {
        m_conflicting.add();
        m_conflicts.insert(window.number);
        process::logging::error("usage.conflict", { { "number", window.number } });
        co_return true;
    }
    if (response->status != HTTP_OK)
        co_return false;
    m_reported.add();
    co_return co_await markReported(window.number);
}

auto UsageRunner::Loop::markReported(std::uint64_t number) -> asio::awaitable<bool>
{
    auto record = boost::json::object { { "number", number }, { "reported", true } };
    const auto id = base::concat("usage/", number, "/reported");
    const auto appended = co_await m_dependencies.log.append(state::RecordKind::UsageWindow, id,
                                                             std::move(record), APPEND_TIME);
    co_return appended.ok();
}

} // namespace nutmegplank::version::usage
