#pragma once

#include <mutex>

#include <boost/asio.hpp>

#include "process/inventory/internal/servertable.h"
#include "process/inventory/vmlistinventory.h"
#include "process/snapshot/rcucell.h"

namespace nutmegplank::process::inventory {

//! Long polls of the VM list on one strand.
class VmListInventory : public IInventory
{
public:
    VmListInventory(boost::asio::io_context &context, std::string endpoint);

    auto start() -> void;
    auto view() const -> ServerViewPtr override { return m_view.load(); }
    auto onChange(std::function<void(ServerViewPtr)> handler) -> void override;

private:
    auto follow() -> boost::asio::awaitable<void>;
    auto poll() -> boost::asio::awaitable<absl::Status>;
    auto publish() -> void;

    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    std::string m_endpoint;
    ServerTable m_table;
    snapshot::RcuCell<ServerView> m_view;
    std::mutex m_mutex;
    std::vector<std::function<void(ServerViewPtr)>> m_handlers;
};

} // namespace nutmegplank::process::inventory
