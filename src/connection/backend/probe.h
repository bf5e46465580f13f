#pragma once

#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/enumtable.h"
#include "base/timepoint.h"

namespace nutmegplank::connection::backend {

//! What a fresh connection shows about a backend server.
enum class ProbeVerdict {
    Alive,
    Silent, //!< Takes the connection and does not answer.
    Dead,   //!< Takes no connection.
};

constexpr auto PROBE_VERDICT_NAMES = base::EnumTable<ProbeVerdict, 3> { {
    { ProbeVerdict::Alive, "alive" },
    { ProbeVerdict::Silent, "silent" },
    { ProbeVerdict::Dead, "dead" },
} };

//! Which path tells how the server is.
enum class ProbeKind {
    Engine, //!< GET /v1/status, which also tells load and weights.
    Plain,  //!< GET /health; any answer below 500 will do.
};

//! One answer to a probe.
struct ProbeResult
{
    ProbeVerdict verdict = ProbeVerdict::Dead;
    std::string bootId;              //!< Empty when the server names none.
    bool cold = false;               //!< The server says so itself.
    std::uint32_t running = 0;       //!< As reported, which is late.
    std::uint64_t weightVersion = 0; //!< Engines only.
};

//! Asks the server at \a endpoint over a connection of its own, so that a connection that went
//! silent is not taken for a dead server, nor a dead server for a slow one.
auto probe(std::string endpoint, ProbeKind kind, base::Duration timeout)
    -> boost::asio::awaitable<ProbeResult>;

} // namespace nutmegplank::connection::backend
