#include "request/forward/requestbytes.h"

namespace nutmegplank::request::forward {

namespace {

//! Of all machines together at one server. Servers do not tell their memory: this is four bodies of
//! the largest size that callers may send.
constexpr auto SERVER_BYTES = std::uint64_t(32 * 1024 * 1024);
//! At the limit of 400 connections, requests of this size take less than a server's share.
constexpr auto SMALL_REQUEST_BYTES = std::uint64_t(16 * 1024);

} // namespace

auto RequestBytes::fits(const std::string &server, std::uint64_t bytes,
                        std::size_t machineCount) const -> bool
{
    const auto found = m_underWay.find(server);
    if (bytes <= SMALL_REQUEST_BYTES || found == m_underWay.end())
        return true;
    return found->second + bytes <= SERVER_BYTES / machineCount;
}

auto RequestBytes::begin(const std::string &server, std::uint64_t bytes) -> void
{
    if (bytes > SMALL_REQUEST_BYTES)
        m_underWay[server] += bytes;
}

auto RequestBytes::end(const std::string &server, std::uint64_t bytes) -> void
{
    if (bytes <= SMALL_REQUEST_BYTES)
        return;
    const auto found = m_underWay.find(server);
    found->second -= bytes;
    if (found->second == 0)
        m_underWay.erase(found);
}

} // namespace nutmegplank::request::forward
