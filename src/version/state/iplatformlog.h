#pragma once

#include <functional>
#include <memory>
#include <string>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <boost/json/value.hpp>

#include "base/timepoint.h"
#include "version/configuration/configuration.h"

//! Client of the platform's log, the only source of agreement between processes: appending records,
//! and the state that results from replaying them.
namespace nutmegplank::version::state {

//! Kind of a record. docs/PROTOCOLS.md lists the fields of each kind.
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

//! A lease as replayed from the log. The fencing number is the offset of the claim in effect.
struct LeaseState
{
    std::string scope;
    std::string holder; //!< Member id and incarnation; empty after a release.
    std::uint64_t fencingNumber = 0;
    std::uint64_t lastRenewalOffset = 0;
    std::string lastRenewalId; //!< Record id of the claim or renewal at that offset.
    base::Duration term {};
};

//! Newest weights of a model that a trainer has published.
struct WeightsState
{
    std::string model; //!< Name of the service whose engines load the weights.
    std::uint64_t version = 0;
    std::string source; //!< Object name in the weight store.
    std::uint64_t offset = 0;
};

//! Number of backend servers of a service that an availability zone should have.
struct PlanTarget
{
    std::string service;
    std::string zone;
    std::uint32_t ordinary = 0; //!< Ordinary backend servers (not cheap ones).
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
    Release, //!< Return one backend server.
};

//! An order whose intent is in the log.
struct OrderState
{
    std::string orderId; //!< Stays the same when the order is retried.
    OrderKind kind = OrderKind::Create;
    std::string service;
    std::string zone;
    bool cheap = false;
    std::string server;   //!< Release: server to return. Create: the created server, once known.
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

//! Counter values of a process up to which its usage has been included in a window.
struct UsageMark
{
    std::string process;
    std::vector<UsageFigure> counted;
};

//! A closed window; its figures never change.
struct UsageWindowState
{
    std::uint64_t number = 0;
    std::int64_t startMs = 0; //!< Wall clock time in milliseconds.
    std::int64_t endMs = 0;
    std::vector<UsageFigure> figures;
    bool reported = false;
    std::uint64_t offset = 0;
};

//! A configuration change as shown to operators.
struct AuditEntry
{
    std::uint64_t offset = 0;
    std::int64_t wallMs = 0;
    std::string who;
    std::string why;
    std::string what; //!< For instance "key.withdraw".
    boost::json::value before;
    boost::json::value after;
    bool conflict = false; //!< Rejected because of a concurrent change; nothing changed.
};

using AuditEntryPtr = std::shared_ptr<const AuditEntry>;

//! The state that results from replay; immutable, one value per offset.
struct LogState
{
    std::uint64_t nextOffset = 0;
    configuration::ConfigurationPtr configuration;
    std::map<std::string, LeaseState> leases;    //!< By scope.
    std::map<std::string, WeightsState> weights; //!< By service.
    PlanState plan;
    std::map<std::string, OrderState> orders; //!< By order id; the oldest settled ones are dropped.
    std::map<std::uint64_t, UsageWindowState>
        windows; //!< By number; the oldest reported ones are dropped.
    std::map<std::string, UsageMark> usageMarks; //!< By process.
    std::vector<AuditEntryPtr> audit;            //!< The newest entries, oldest first.
};

using LogStatePtr = std::shared_ptr<const LogState>;

//! The state as text, with the additional data that replay needs to continue from it.
struct SerializedState
{
    std::uint64_t nextOffset = 0; //!< 0: no state is available yet.
    std::string text;
};

//! Access of a process to the log.
class IPlatformLog
{
public:
    virtual ~IPlatformLog() = default;

    //! State at the newest offset read. Cheap enough to call for every request.
    virtual auto state() const -> LogStatePtr = 0;
    //! Start time of the last read that reached the end of the log.
    virtual auto lastConfirmed() const -> base::TimePoint = 0;
    //! Appends a record and waits until it has been read back. \a recordId makes this idempotent:
    //! after a lost response the append is retried with the same id, and replay applies the record
    //! once. Returns the offset at which it took effect.
    virtual auto append(RecordKind kind, std::string recordId, boost::json::object body,
                        base::Duration timeout)
        -> boost::asio::awaitable<absl::StatusOr<std::uint64_t>> = 0;
    //! Adds a handler that runs after each change of the state, on the strand of the log. It must
    //! not block.
    virtual auto onChange(std::function<void(LogStatePtr)> handler) -> void = 0;
    //! Used only to write snapshots.
    virtual auto serializedState() -> boost::asio::awaitable<SerializedState>
    {
        co_return SerializedState();
    }
};

} // namespace nutmegplank::version::state
