#pragma once

#include <functional>
#include <memory>
#include <string>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include "base/timepoint.h"
#include "version/configuration/configuration.h"

//! The platform's log as the only agreement: appending, and the state that replay of it gives.
namespace nutmegplank::version::state {

//! What a record says. docs/PROTOCOLS.md gives the fields of each.
enum class RecordKind {
    LeaseClaim,
    LeaseRenewal,
    LeaseRelease,
    ConfigurationChange,
    Weights,
    Plan,
    OrderIntent,
    OrderOutcome,
    UsageWindow,
    SnapshotChunk,
};

//! A lease as replay sees it. The fencing number is the offset of the claim that holds.
struct LeaseState
{
    std::string scope;
    std::string holder; //!< Member id and incarnation; empty when released.
    std::uint64_t fencingNumber = 0;
    std::uint64_t lastRenewalOffset = 0;
    std::string lastRenewalId; //!< Record id of the claim or renewal at that offset.
    base::Duration term {};
};

//! Newest weights of a model that a trainer has published.
struct WeightsState
{
    std::string model; //!< Name of the service whose engines load them.
    std::uint64_t version = 0;
    std::string source; //!< Object name in the weight store.
    std::uint64_t offset = 0;
};

//! How many backend servers each zone should have.
struct PlanTarget
{
    std::string service;
    std::string zone;
    std::uint32_t dear = 0; //!< Ordinary backend servers.
    std::uint32_t cheap = 0;
};

struct PlanState
{
    std::uint64_t offset = 0;
    std::string preset;
    std::vector<PlanTarget> targets;
};

enum class OrderKind {
    Create,  //!< Order one backend server.
    Release, //!< Give one back.
};

//! An order whose intent stands in the log.
struct OrderState
{
    std::string orderId; //!< Stable; repeated as often as needed.
    OrderKind kind = OrderKind::Create;
    std::string service;
    std::string zone;
    bool cheap = false;
    std::string server;   //!< Release: which one. Create: which one came, once known.
    bool settled = false; //!< The outcome is in the log.
    std::uint64_t offset = 0;
};

struct UsageFigure
{
    std::string workspace;
    std::string service;
    std::uint64_t requests = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t generatedTokens = 0;
    std::uint64_t serverMilliseconds = 0;
};

//! A counter value up to which usage of a process has been put into a window.
struct UsageMark
{
    std::string process;
    std::vector<UsageFigure> counted;
};

//! A closed window; its figures never change.
struct UsageWindowState
{
    std::uint64_t number = 0;
    std::int64_t startMs = 0; //!< Wall clock.
    std::int64_t endMs = 0;
    std::vector<UsageFigure> figures;
    bool reported = false;
    std::uint64_t offset = 0;
};

//! A change as operators read it later.
struct AuditEntry
{
    std::uint64_t offset = 0;
    std::int64_t wallMs = 0;
    std::string who;
    std::string why;
    std::string what; //!< For instance "key.withdraw".
    boost::json::value before;
    boost::json::value after;
    bool conflict = false; //!< Lost a race; nothing changed.
};

using AuditEntryPtr = std::shared_ptr<const AuditEntry>;

//! All that replay gives; immutable, one value an offset.
struct LogState
{
    std::uint64_t nextOffset = 0;
    configuration::ConfigurationPtr configuration;
    std::map<std::string, LeaseState> leases;    //!< By scope.
    std::map<std::string, WeightsState> weights; //!< By service.
    PlanState plan;
    std::map<std::string, OrderState>
        orders; //!< By order id; settled ones are dropped after a while.
    std::map<std::uint64_t, UsageWindowState>
        windows; //!< By number; reported ones are dropped after a while.
    std::map<std::string, UsageMark> usageMarks; //!< By process.
    std::vector<AuditEntryPtr> audit;            //!< The newest ones, oldest first.
};

using LogStatePtr = std::shared_ptr<const LogState>;

//! The state as text, with what replay needs besides to go on from it.
struct SerializedState
{
    std::uint64_t nextOffset = 0; //!< 0: there is no state yet.
    std::string text;
};

//! The log as a process uses it.
class IPlatformLog
{
public:
    virtual ~IPlatformLog() = default;

    //! State at the newest offset read; cheap, for the path of a request.
    virtual auto state() const -> LogStatePtr = 0;
    //! When the log last answered a read to its end.
    virtual auto lastConfirmed() const -> base::TimePoint = 0;
    //! Appends a record and waits until it has been read back. \a recordId makes it idempotent: a
    //! lost answer is repeated with the same id, and replay counts it once. Gives the offset at
    //! which it counts.
    virtual auto append(RecordKind kind, std::string recordId, boost::json::object body,
                        base::Duration timeout)
        -> boost::asio::awaitable<absl::StatusOr<std::uint64_t>> = 0;
    //! Runs after each change of the state, on a strand of its own. Handlers must not block.
    virtual auto onChange(std::function<void(LogStatePtr)> handler) -> void = 0;
    //! For snapshots only.
    virtual auto serializedState() -> boost::asio::awaitable<SerializedState>
    {
        co_return SerializedState();
    }
};

} // namespace nutmegplank::version::state
