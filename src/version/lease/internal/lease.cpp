#include <mutex>

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "base/hash.h"
#include "base/status.h"
#include "base/text.h"
#include "process/clock/clock.h"
#include "process/logging/logging.h"
#include "version/lease/internal/leasemachine.h"

namespace nutmegplank::version::lease {

namespace {

namespace asio = boost::asio;

//! How often the state machine is polled per renewal interval.
constexpr auto CHECKS_PER_RENEWAL = 6;
constexpr auto RELEASE_TIMEOUT = std::chrono::seconds(1);

//! Performs the I/O for LeaseMachine. Its coroutines keep it alive until they notice that it was
//! stopped.
class LeaseRunner : public std::enable_shared_from_this<LeaseRunner>
{
public:
    LeaseRunner(asio::io_context &context, state::IPlatformLog &log, LeaseOptions options)
        : m_strand(asio::make_strand(context))
        , m_log(log)
        , m_options(std::move(options))
        , m_times(deriveLeaseTimes(m_options.term))
        , m_machine(m_options.scope, m_options.holder, m_times)
    { }

    auto start() -> void
    {
        const auto weak = weak_from_this();
        m_log.onChange([weak](const state::LogStatePtr &state) {
            const auto self = weak.lock();
            if (self != nullptr)
                self->observe(*state);
        });
        asio::co_spawn(m_strand, run(), asio::detached);
    }

    auto fencingNumber(base::TimePoint now) const -> std::optional<std::uint64_t>
    {
        const auto lock = std::lock_guard(m_mutex);
        return m_machine.fencingNumber(now);
    }

    auto scope() const -> const std::string & { return m_options.scope; }

    auto release() -> void
    {
        const auto lock = std::lock_guard(m_mutex);
        if (std::exchange(m_stopped, true))
            return;
        const auto fencingNumber = m_machine.release();
        if (fencingNumber)
            asio::co_spawn(m_strand, appendRelease(*fencingNumber), asio::detached);
    }

    //! Stops participating without appending a release to the log.
    auto stop() -> void
    {
        const auto lock = std::lock_guard(m_mutex);
        m_stopped = true;
        m_machine.release();
    }

private:
    auto observe(const state::LogState &state) -> void
    {
        const auto now = process::clock::now();
        const auto found = state.leases.find(m_options.scope);
        const auto *lease = found == state.leases.end() ? nullptr : &found->second;
        const auto lock = std::lock_guard(m_mutex);
        const auto oldFencingNumber = m_machine.fencingNumber(now);
        m_machine.observe(lease, now);
        const auto newFencingNumber = m_machine.fencingNumber(now);
        if (!oldFencingNumber && newFencingNumber)
            process::logging::info("lease.taken",
                                   { { "scope", boost::json::value(m_options.scope) },
                                     { "fencing_number", *newFencingNumber } });
    }

    auto nextAction() -> std::optional<LeaseAction>
    {
        const auto now = process::clock::now();
        // A log that was never read may contain a claim unknown to this process.
        if (m_log.lastConfirmed() == base::TimePoint())
            return std::nullopt;
        const auto preferred = !m_options.preferred || m_options.preferred(now);
        const auto state = m_log.state();
        observe(*state);
        const auto lock = std::lock_guard(m_mutex);
        if (m_stopped)
            return std::nullopt;
        return m_machine.next(process::clock::now(), preferred, base::randomId());
    }

    auto isStopped() const -> bool
    {
        const auto lock = std::lock_guard(m_mutex);
        return m_stopped;
    }

    auto run() -> asio::awaitable<void>
    {
        const auto self = shared_from_this();
        auto timer = asio::steady_timer(m_strand);
        while (!isStopped()) {
            const auto action = nextAction();
            if (action)
                co_await append(*action);
            if (isStopped())
                break;
            timer.expires_after(m_times.renewEvery / CHECKS_PER_RENEWAL);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    auto append(LeaseAction action) -> asio::awaitable<void>
    {
        auto kind = state::RecordKind::LeaseClaim;
        auto body =
            boost::json::object { { "scope", m_options.scope }, { "holder", m_options.holder } };
        if (action.kind == LeaseActionKind::Claim) {
            body["supersedes"] = action.supersedes;
            body["term_ms"] = base::toMilliseconds(m_options.term);
        } else {
            kind = state::RecordKind::LeaseRenewal;
            body["fencing_number"] = action.fencingNumber;
        }
        const auto result = co_await m_log.append(kind, std::move(action.recordId), std::move(body),
                                                  m_times.renewEvery);
        if (!result.ok())
            process::logging::debug(
                "lease.append_failed",
                { { "scope", boost::json::value(m_options.scope) },
                  { "problem", boost::json::value(base::describe(result.status())) } });
    }

    auto appendRelease(std::uint64_t fencingNumber) -> asio::awaitable<void>
    {
        const auto self = shared_from_this();
        auto body = boost::json::object { { "scope", m_options.scope },
                                          { "holder", m_options.holder },
                                          { "fencing_number", fencingNumber } };
        auto recordId = base::randomId();
        co_await m_log.append(state::RecordKind::LeaseRelease, std::move(recordId), std::move(body),
                              RELEASE_TIMEOUT);
    }

    asio::strand<asio::io_context::executor_type> m_strand;
    state::IPlatformLog &m_log;
    LeaseOptions m_options;
    LeaseTimes m_times;
    mutable std::mutex m_mutex;
    LeaseMachine m_machine;
    bool m_stopped = false;
};

class LeaseHandle : public ILease
{
public:
    explicit LeaseHandle(std::shared_ptr<LeaseRunner> runner)
        : m_runner(std::move(runner))
    { }
    ~LeaseHandle() override { m_runner->stop(); }

    auto fencingNumber(base::TimePoint now) const -> std::optional<std::uint64_t> override
    {
        return m_runner->fencingNumber(now);
    }
    auto scope() const -> const std::string & override { return m_runner->scope(); }
    auto release() -> void override { m_runner->release(); }

private:
    std::shared_ptr<LeaseRunner> m_runner;
};

} // namespace

auto makeLease(asio::io_context &context, state::IPlatformLog &log, LeaseOptions options)
    -> std::unique_ptr<ILease>
{
    auto runner = std::make_shared<LeaseRunner>(context, log, std::move(options));
    runner->start();
    return std::make_unique<LeaseHandle>(std::move(runner));
}

} // namespace nutmegplank::version::lease
