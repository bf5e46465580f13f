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

//! What a read of the log gave.
struct LogRead
{
    std::vector<Record> records;
    std::uint64_t next = 0;  //!< Where to read on.
    std::uint64_t first = 0; //!< First record that is kept.
    bool expired = false;    //!< The asked offset is kept no longer.
};

//! Calls of the log service on connections that are used again. Must run on one strand.
class LogClient
{
public:
    explicit LogClient(std::string endpoint);

    auto read(std::uint64_t from, std::uint32_t most, base::Duration wait)
        -> boost::asio::awaitable<absl::StatusOr<LogRead>>;
    //! Gives the record's offset. ResourceExhausted above the append rate; after any other error
    //! the record may stand in the log nevertheless.
    auto append(std::string id, boost::json::object body, base::Duration timeout)
        -> boost::asio::awaitable<absl::StatusOr<std::uint64_t>>;

private:
    auto exchange(connection::http::Request request, base::Duration timeout)
        -> boost::asio::awaitable<absl::StatusOr<connection::http::Response>>;
    auto readAll(connection::http::IHttpConnection &connection, connection::http::Request request,
                 base::Duration timeout)
        -> boost::asio::awaitable<absl::StatusOr<connection::http::Response>>;

    std::string m_endpoint;
    std::vector<std::unique_ptr<connection::http::IHttpConnection>> m_idle;
};

} // namespace nutmegplank::version::state
