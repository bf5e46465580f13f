#pragma once

#include <map>
#include <mutex>
#include <optional>

#include "process/admin/adminapi.h"

namespace nutmegplank::process::admin {

//! The calls under /admin/v1. Safe for several threads.
class AdminHandler : public std::enable_shared_from_this<AdminHandler>
{
public:
    explicit AdminHandler(AdminDependencies dependencies);

    //! Begins to follow the log; needs a shared owner.
    auto start() -> void;
    auto handle(connection::http::Request request, connection::http::IHttpResponder &responder)
        -> boost::asio::awaitable<void>;

private:
    auto answer(connection::http::Request request)
        -> boost::asio::awaitable<connection::http::Response>;
    //! Name of the operator whose key came with the request.
    auto operatorOf(const connection::http::Request &request) const -> std::optional<std::string>;
    auto stateResponse() const -> connection::http::Response;
    auto membersResponse() const -> connection::http::Response;
    auto serversResponse() const -> connection::http::Response;
    auto auditResponse(std::uint64_t from) const -> connection::http::Response;
    auto inForceResponse(std::uint64_t version) const -> connection::http::Response;
    auto change(std::string who, std::string body)
        -> boost::asio::awaitable<connection::http::Response>;
    auto changeFailed(const absl::Status &status) const -> connection::http::Response;
    auto noteVersion(std::uint64_t version, base::TimePoint now) -> void;
    auto versionSeen(std::uint64_t version) const -> base::TimePoint;

    AdminDependencies m_dependencies;
    mutable std::mutex m_mutex;
    std::map<std::uint64_t, base::TimePoint> m_seen; //!< When versions were read; the newest ones.
};

} // namespace nutmegplank::process::admin
