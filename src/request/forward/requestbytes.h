#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace nutmegplank::request::forward {

//! Bytes of the large requests that this process has under way at each backend server. Suits
//! servers that fail if the requests they hold exceed their memory: the machines share what a
//! server is sent at the same time. A large request that fits nowhere waits or is refused; small
//! ones are bounded by the server's connections alone.
class RequestBytes
{
public:
    //! Whether a request of \a bytes may be sent to \a server by one of \a machineCount machines. A
    //! single large one always may: it must be served, whatever the share.
    auto fits(const std::string &server, std::uint64_t bytes, std::size_t machineCount) const
        -> bool;
    auto begin(const std::string &server, std::uint64_t bytes) -> void;
    auto end(const std::string &server, std::uint64_t bytes) -> void;

private:
    std::unordered_map<std::string, std::uint64_t> m_underWay; //!< Only servers that have some.
};

} // namespace nutmegplank::request::forward
