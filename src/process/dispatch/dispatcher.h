#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "connection/link/ilink.h"
#include "process/dispatch/shardworker.h"
#include "process/inventory/iinventory.h"
#include "process/membership/imembership.h"
#include "process/shards/shardownership.h"
#include "version/state/iplatformlog.h"

namespace nutmegplank::process::dispatch {

//! Times of a dispatcher.
struct DispatcherOptions
{
    base::Duration handoverDelay = std::chrono::seconds(1);
    //! A majority must have been heard within this time, and the configuration confirmed; else this
    //! dispatcher starts nothing. Shorter than what others take to find it dead.
    base::Duration fenceBound = std::chrono::seconds(2);
    base::Duration confirmBound = std::chrono::seconds(4);
    DispatchPolicy policy;
};

//! What a dispatcher works with; all outlive it.
struct DispatcherDependencies
{
    boost::asio::io_context &context;
    std::function<base::TimePoint()> now;
    connection::link::ILink &link;
    membership::IMembership &membership;
    inventory::IInventory &inventory;
    version::state::IPlatformLog &log;
    metrics::Registry &metrics;
};

//! Owns the shards of this process: follows membership, inventory and configuration, and hands
//! messages to the shards. Runs on a strand of its own, in the order in which messages came.
class Dispatcher : public std::enable_shared_from_this<Dispatcher>
{
public:
    using Strand = ShardWorker::Strand;

    Dispatcher(Strand strand, DispatcherOptions options, DispatcherDependencies dependencies);

    auto start() -> void;
    //! Gives all shards up; \a onDrained runs once nothing runs any more.
    auto drain(std::function<void()> onDrained) -> void;
    auto handle(wire::Envelope message) -> void;

private:
    using WorkerPtr = std::shared_ptr<ShardWorker>;

    auto loop() -> boost::asio::awaitable<void>;
    //! What the shards were last told about.
    struct World
    {
        version::configuration::ConfigurationPtr configuration;
        membership::MemberViewPtr members;
        inventory::ServerViewPtr servers;
        bool draining = false;
    };

    auto follow() -> void;
    auto dropDeadGateways(const membership::MemberView &view) -> void;
    auto ownedIn(const World &world) const -> std::vector<std::string>;
    auto mayServe(base::TimePoint now) const -> bool;
    auto workerOf(const std::string &shard, const std::string &service) -> WorkerPtr;
    auto updateWorkers() -> void;
    auto submit(wire::Submit submit, std::string replyLink) -> void;
    auto cancel(const std::string &attemptId, const std::string &replyLink) -> void;
    auto notice(const wire::ServerNotice &notice) -> void;
    auto sendReports() -> void;
    auto reportTargets(const std::string &service) const -> std::vector<std::string>;
    auto checkDrained() -> void;

    Strand m_strand;
    DispatcherOptions m_options;
    DispatcherDependencies m_dependencies;
    request::attempt::AttemptIndex m_index;
    shards::ShardOwnership m_ownership;
    std::shared_ptr<memory::ByteBudget> m_answerBytes;
    std::map<std::string, WorkerPtr> m_workers; //!< By shard.
    std::function<void()> m_onDrained;
    base::TimePoint m_nextReport {};
    World m_world;
    std::set<std::string> m_deadGateways; //!< Link addresses.
    std::vector<std::string> m_owned;     //!< Shards that hash to this process.
    bool m_draining = false;
};

} // namespace nutmegplank::process::dispatch
