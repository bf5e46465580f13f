#include "app/gateway/tlssource.h"

#include <boost/asio/ssl.hpp>

#include "base/status.h"

namespace nutmegplank::app::gateway {

namespace asio = boost::asio;

TlsSource::TlsSource(TlsSettings settings)
    : m_settings(std::move(settings))
{ }

auto TlsSource::reload() -> absl::Status
{
    auto error = boost::system::error_code();
    auto context = std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
    context->set_options(asio::ssl::context::default_workarounds | asio::ssl::context::no_sslv2
                         | asio::ssl::context::no_sslv3 | asio::ssl::context::no_tlsv1
                         | asio::ssl::context::no_tlsv1_1);
    context->use_certificate_chain_file(m_settings.certificate, error);
    if (!error)
        context->use_private_key_file(m_settings.key, asio::ssl::context::pem, error);
    if (error)
        return base::makeError(absl::StatusCode::kInvalidArgument, error.message(),
                               { "tls.reload", m_settings.certificate });
    const auto lock = std::lock_guard(m_mutex);
    m_context = std::move(context);
    return absl::OkStatus();
}

auto TlsSource::context() const -> std::shared_ptr<asio::ssl::context>
{
    const auto lock = std::lock_guard(m_mutex);
    return m_context;
}

} // namespace nutmegplank::app::gateway
