#pragma once

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "connection/http/message.h"
#include "process/metrics/metrics.h"

namespace nutmegplank::app::node {

//! How another machine took a call that this one could not serve.
enum class RelayEnd {
    Answered, //!< Its answer is good for the caller.
    Refused,  //!< It could not serve it either; nothing was done.
    NoPeer,   //!< There is none, or none was reached.
    Unknown,  //!< It was sent and no answer came.
};

//! Hands a call to another machine of the system when this one cannot reach the platform's store:
//! often only some machines are cut off from it. A call is relayed once at most.
class Relay
{
public:
    //! \a peers gives the callers' endpoints of the other machines.
    Relay(std::function<std::vector<std::string>()> peers, process::metrics::Registry &metrics);

    //! \a isGood tells whether an answer is the other machine's to this call.
    auto send(connection::http::Request request,
              std::function<bool(const connection::http::Response &)> isGood)
        -> boost::asio::awaitable<RelayEnd>;
    //! Whether another machine has sent this call.
    static auto wasRelayed(const connection::http::Request &request) -> bool;

private:
    std::function<std::vector<std::string>()> m_peers;
    std::uint64_t m_turn = 0;
    process::metrics::Counter &m_relayed;
};

} // namespace nutmegplank::app::node
