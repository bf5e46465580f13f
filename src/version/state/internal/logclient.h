#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include "connection/http/httpclient.h"
#include "version/state/internal/recordrules.h"

namespace nutmegplank::version::state {

//! Result of a read from the log.
struct LogRead
{
    std::vector<Record> records;
    std::uint64_t next = 0;  //!< Offset of the next read.
    std::uint64_t first = 0; //!< Offset of the first retained record.
    bool expired = false;    //!< The log no longer retains the requested offset.
};

//! HTTP client of the log service with reused connections. Must run on one strand.
class LogClient
{
public:
    explicit LogClient(std::string endpoint);

    auto read(std::uint64_t from, std::uint32_t maxRecords, base::Duration wait)
        -> boost::asio::awaitable<absl::StatusOr<LogRead>>;
    //! Returns the offset of the record. Fails with ResourceExhausted above the append rate; after
    //! any other error the record may still be in the log.
    auto append(std::string id, boost::json::object body, base::Duration timeout)
        -> boost::asio::awaitable<absl::StatusOr<std::uint64_t>>;

private:
    auto exchange(connection::http::Request request, base::Duration timeout)
        -> boost::asio::awaitable<absl::StatusOr<connection::http::Response>>;
    auto sendAndReadResponse(connection::http::IHttpConnection &connection,
                             connection::http::Request request, base::Duration timeout)
        -> boost::asio::awaitable<absl::StatusOr<connection::http::Response>>;

    std::string m_endpoint;
    std::vector<std::unique_ptr<connection::http::IHttpConnection>> m_idleConnections;
};

} // namespace nutmegplank::version::state
