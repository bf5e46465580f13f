#pragma once

#include <thread>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <gtest/gtest.h>

#include "base/hash.h"
#include "base/text.h"
#include "connection/http/httpclient.h"
#include "connection/http/httpserver.h"
#include "logservice.h"
#include "process/admin/adminapi.h"
#include "process/clock/clock.h"
#include "version/state/platformlog.h"

namespace nutmegplank::process::admin {

namespace asio = boost::asio;
namespace http = connection::http;
namespace json = boost::json;

constexpr auto PATIENCE = std::chrono::seconds(10);
constexpr auto KEY = "operator-key";

class FakeMembership : public membership::IMembership
{
public:
    auto view() const -> membership::MemberViewPtr override
    {
        auto view = std::make_shared<membership::MemberView>();
        view->members.push_back(self());
        if (m_other)
            view->members.push_back(*m_other);
        return view;
    }
    auto self() const -> membership::Member override
    {
        auto member = membership::Member();
        member.id = "controller-1";
        return member;
    }
    auto setProgress(membership::OwnProgress) -> void override { }
    auto leave() -> void override { }
    auto hearsMajority(base::TimePoint, base::Duration) const -> bool override { return true; }
    auto confirmsConfiguration(std::uint64_t, base::TimePoint, base::Duration) const
        -> bool override
    {
        return true;
    }
    auto onChange(std::function<void(membership::MemberViewPtr)>) -> void override { }

    //! One more process; set it before calls only.
    auto setOther(membership::Member other) -> void { m_other = std::move(other); }

private:
    std::optional<membership::Member> m_other;
};

class FakeInventory : public inventory::IInventory
{
public:
    auto view() const -> inventory::ServerViewPtr override
    {
        return std::make_shared<inventory::ServerView>();
    }
    auto onChange(std::function<void(inventory::ServerViewPtr)>) -> void override { }
};

//! A controller's operators' interface before a log service, all in this process.
class AdminTest : public testing::Test
{
protected:
    auto SetUp() -> void override
    {
        const auto logAddress =
            serve(m_logServer, [this](http::Request request, http::IHttpResponder &responder) {
                return m_logService.handle(std::move(request), responder);
            });
        auto options = version::state::PlatformLogOptions();
        options.endpoint = logAddress;
        options.member = "controller-1";
        options.pollTime = std::chrono::milliseconds(50);
        m_log = version::state::makePlatformLog(m_context, options);
        m_address = serve(
            m_adminServer,
            admin::makeAdminHandler(
                { *m_log, m_membership, m_inventory, { { "ana", base::sha256Hex(KEY) } }, {} }));
        for (auto &worker : m_workers)
            worker = std::thread([this] { m_context.run(); });
    }
    auto TearDown() -> void override
    {
        m_context.stop();
        for (auto &worker : m_workers)
            worker.join();
    }
    auto serve(std::unique_ptr<http::HttpServer> &server, http::HttpHandler handler) -> std::string
    {
        server =
            std::make_unique<http::HttpServer>(m_context, http::ServerLimits(), std::move(handler));
        return base::concat("127.0.0.1:", *server->listen("127.0.0.1", 0));
    }
    auto call(const std::string &method, const std::string &target, const std::string &body = "",
              const std::string &key = KEY) -> http::Response
    {
        auto request = http::Request();
        request.method = method;
        request.target = "/admin/v1/" + target;
        request.headers.push_back({ "Authorization", "Bearer " + key });
        request.body = body;
        return asio::co_spawn(m_context, http::fetch(m_address, request, PATIENCE),
                              asio::use_future)
            .get()
            .value();
    }
    auto addZone(const std::string &id, std::uint64_t baseVersion, const std::string &zone)
        -> http::Response
    {
        auto value = json::object { { "name", zone }, { "region", "r" } };
        auto change = json::object { { "object", "zone" }, { "name", zone }, { "value", value } };
        const auto body = json::object { { "id", id },
                                         { "base_version", baseVersion },
                                         { "why", "test" },
                                         { "what", "zone.add" },
                                         { "changes", json::array { change } } };
        return call("POST", "changes", json::serialize(body));
    }
    static auto versionOf(const http::Response &response) -> std::uint64_t
    {
        return json::parse(response.body).at("version").to_number<std::uint64_t>();
    }

    asio::io_context m_context;
    standins::log::LogService m_logService;
    FakeMembership m_membership;
    FakeInventory m_inventory;
    std::unique_ptr<http::HttpServer> m_logServer;
    std::unique_ptr<http::HttpServer> m_adminServer;
    std::unique_ptr<version::state::IPlatformLog> m_log;
    std::string m_address;
    std::array<std::thread, 3> m_workers;
};

} // namespace nutmegplank::process::admin
