#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/enumtable.h"
#include "base/timepoint.h"

//! The backend servers that exist, from the platform's lagging VM list.
namespace nutmegplank::process::inventory {

enum class ServerState {
    Live,
    Leaving, //!< The platform will take it away; it gets no new work.
};

constexpr auto SERVER_STATE_NAMES = base::EnumTable<ServerState, 2> { {
    { ServerState::Live, "live" },
    { ServerState::Leaving, "leaving" },
} };

//! One backend server.
struct BackendServer
{
    std::string id;
    std::string service;
    std::string zone;
    std::string address;        //!< "address:port", HTTP.
    bool cheap = false;         //!< May be reclaimed at any time.
    bool checksFencing = false; //!< Refuses orders with an old fencing number.
    std::string orderId;        //!< The order that made it; empty when unknown.
    ServerState state = ServerState::Live;
};

//! One view of all backend servers; immutable.
struct ServerView
{
    std::uint64_t revision = 0;
    std::vector<BackendServer> servers; //!< Sorted by id.

    auto find(const std::string &id) const -> const BackendServer *;
};

using ServerViewPtr = std::shared_ptr<const ServerView>;

//! Shard of \a server within its service: by rendezvous hash, so that servers that come and go do
//! not move the others. The name is "service/number".
auto shardOf(const BackendServer &server, std::uint32_t shardCount) -> std::string;

//! All shard names of a service.
auto shardsOf(const std::string &service, std::uint32_t shardCount) -> std::vector<std::string>;

//! Follows the VM list.
class IInventory
{
public:
    virtual ~IInventory() = default;

    virtual auto view() const -> ServerViewPtr = 0;
    //! Runs after each change of the view.
    virtual auto onChange(std::function<void(ServerViewPtr)> handler) -> void = 0;
};

} // namespace nutmegplank::process::inventory
