#pragma once

#include <memory>
#include <string>

#include "connection/backend/backendpool.h"
#include "platform/platformcall.h"
#include "process/metrics/metrics.h"
#include "version/journal/ijournal.h"

namespace nutmegplank::platform {

//! Client of the platform's store over HTTP. Not thread-safe: make all calls on one executor.
class StoreClient : public version::journal::IJournal
{
public:
    StoreClient(std::string endpoint, version::journal::AppendLimits limits,
                process::metrics::Registry &metrics);

    auto append(version::journal::Partition partition, std::vector<std::string> records,
                version::journal::AppendCondition condition, base::Duration timeout)
        -> boost::asio::awaitable<version::journal::AppendResult> override;
    auto read(version::journal::Partition partition, std::uint64_t from,
              version::journal::ReadTimes times)
        -> boost::asio::awaitable<absl::StatusOr<version::journal::Page>> override;
    auto newest(std::string topic)
        -> boost::asio::awaitable<absl::StatusOr<version::journal::KeyedPage>> override;
    auto limits() const -> version::journal::AppendLimits override { return m_limits; }

private:
    auto malformedResponse(std::string_view what, std::string_view operation) const -> absl::Status;
    auto unexpectedStatus(std::uint32_t status, std::string_view operation) const -> absl::Status;
    auto call(connection::http::Request request, base::Duration timeout)
        -> boost::asio::awaitable<CallResult>;

    std::string m_endpoint;
    version::journal::AppendLimits m_limits;
    std::shared_ptr<connection::backend::BackendPool> m_pool;
    process::metrics::Counter &m_calls;
    process::metrics::Counter &m_failures;
    process::metrics::Distribution &m_appendSeconds;
};

} // namespace nutmegplank::platform
