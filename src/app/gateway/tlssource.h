#pragma once

#include <memory>
#include <mutex>

#include <absl/status/status.h>
#include <boost/asio/ssl/context.hpp>

#include "app/gateway/gatewaysettings.h"

namespace nutmegplank::app::gateway {

//! Holds the TLS context for new connections; reads the certificate again on demand.
class TlsSource
{
public:
    explicit TlsSource(TlsSettings settings);

    //! Reads the files; when they are wrong the earlier context stays.
    auto reload() -> absl::Status;
    auto context() const -> std::shared_ptr<boost::asio::ssl::context>;

private:
    TlsSettings m_settings;
    mutable std::mutex m_mutex;
    std::shared_ptr<boost::asio::ssl::context> m_context;
};

} // namespace nutmegplank::app::gateway
