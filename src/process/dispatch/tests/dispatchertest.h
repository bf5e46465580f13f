#pragma once

#include <thread>

#include <gtest/gtest.h>

#include "base/text.h"
#include "connection/http/httpserver.h"
#include "engine/engineserver.h"
#include "plain/plainserver.h"
#include "process/dispatch/dispatcher.h"
#include "process/dispatch/tests/fakes.h"

namespace nutmegplank::process::dispatch {

namespace asio = boost::asio;
namespace http = connection::http;

constexpr auto PATIENCE = std::chrono::seconds(10);
constexpr auto WARM_UP = std::chrono::milliseconds(600);
constexpr auto COLD_LIMIT = 2U;

//! A dispatcher with fakes around it, before one engine and one plain service on a thread of
//! theirs.
class DispatcherTest : public testing::Test
{
protected:
    auto SetUp() -> void override
    {
        startServers();
        describeWorld();
        auto options = DispatcherOptions();
        options.handoverDelay = std::chrono::milliseconds(50);
        options.policy.probePeriod = std::chrono::milliseconds(50);
        options.policy.probeTimeout = std::chrono::milliseconds(300);
        options.policy.progressTime = std::chrono::seconds(1);
        auto dependencies = DispatcherDependencies { m_context,    process::clock::now, m_link,
                                                     m_membership, m_inventory,         m_log,
                                                     m_registry };
        m_dispatcher = std::make_shared<Dispatcher>(asio::make_strand(m_context), options,
                                                    std::move(dependencies));
        m_dispatcher->start();
        for (auto &worker : m_workers)
            worker = std::thread([this] { m_context.run(); });
    }
    auto TearDown() -> void override
    {
        m_context.stop();
        m_serverContext.stop();
        for (auto &worker : m_workers)
            worker.join();
        m_serverThread.join();
    }
    auto startServers() -> void
    {
        const auto now = process::clock::now();
        const auto cold = standins::ColdStartOptions { WARM_UP, COLD_LIMIT, {} };
        auto engineOptions = standins::EngineOptions();
        engineOptions.cold = cold;
        m_engine = std::make_unique<standins::EngineServer>(m_serverContext, engineOptions, now);
        m_engine->start();
        auto plainOptions = standins::PlainOptions();
        plainOptions.cold = cold;
        m_plain = std::make_unique<standins::PlainServer>(plainOptions, now);
        m_engineHttp = std::make_unique<http::HttpServer>(
            m_serverContext, http::ServerLimits(),
            [this](http::Request request, http::IHttpResponder &responder) {
                return m_engine->handle(std::move(request), responder);
            });
        m_plainHttp = std::make_unique<http::HttpServer>(
            m_serverContext, http::ServerLimits(),
            [this](http::Request request, http::IHttpResponder &responder) {
                return m_plain->handle(std::move(request), responder);
            });
        m_engineAddress = base::concat("127.0.0.1:", *m_engineHttp->listen("127.0.0.1", 0));
        m_plainAddress = base::concat("127.0.0.1:", *m_plainHttp->listen("127.0.0.1", 0));
        m_serverThread = std::thread([this] { m_serverContext.run(); });
    }
    auto describeWorld() -> void
    {
        auto engine = version::configuration::Service();
        engine.name = "engine";
        engine.kind = version::configuration::ServiceKind::Engine;
        engine.coldLimit = COLD_LIMIT;
        engine.warmUp = WARM_UP;
        auto plain = engine;
        plain.name = "plain";
        plain.kind = version::configuration::ServiceKind::Plain;
        m_configuration.services = { { "engine", engine }, { "plain", plain } };
        m_log.set(m_configuration);
        auto engineServer = process::inventory::BackendServer();
        engineServer.id = "engine-0";
        engineServer.service = "engine";
        engineServer.zone = "a";
        engineServer.address = m_engineAddress;
        auto plainServer = engineServer;
        plainServer.id = "plain-0";
        plainServer.service = "plain";
        plainServer.address = m_plainAddress;
        m_inventory.set({ engineServer, plainServer });
    }
    auto completion(const std::string &id, const std::string &prompt, int tokens) -> wire::Submit
    {
        auto submit = wire::Submit();
        submit.set_attempt_id(id);
        submit.set_request_id("request-" + id);
        submit.set_workspace("w");
        submit.set_service("engine");
        submit.set_shard("engine/0");
        submit.set_priority(wire::PRIORITY_ROLLOUT);
        submit.set_deadline_ms(8000);
        submit.set_method("POST");
        submit.set_target("/v1/completions?api_key=secret");
        submit.set_idempotent(true);
        auto *header = submit.add_headers();
        header->set_name("Authorization");
        header->set_value("Bearer secret");
        submit.set_body(base::concat("{\"prompt\":\"", prompt, "\",\"max_tokens\":", tokens,
                                     ",\"seed\":7,\"stream\":true}"));
        return submit;
    }
    auto order(const std::string &id) -> wire::Submit
    {
        auto submit = completion(id, "", 0);
        submit.set_service("plain");
        submit.set_shard("plain/0");
        submit.set_priority(wire::PRIORITY_ORDER);
        submit.set_target("/orders");
        submit.set_idempotent(false);
        submit.set_body(base::concat("{\"order\":\"", id, "\"}"));
        return submit;
    }
    auto submit(wire::Submit submit) -> void
    {
        auto envelope = wire::Envelope();
        envelope.set_reply_link("gateway");
        *envelope.mutable_submit() = std::move(submit);
        m_dispatcher->handle(std::move(envelope));
    }
    auto cancel(const std::string &id) -> void
    {
        auto envelope = wire::Envelope();
        envelope.set_reply_link("gateway");
        envelope.mutable_cancel()->set_attempt_id(id);
        m_dispatcher->handle(std::move(envelope));
    }
    auto outcome(const std::string &id) -> wire::Envelope
    {
        const auto found = m_link.outcomeOf(id, PATIENCE);
        EXPECT_TRUE(found.has_value()) << id;
        return found.value_or(wire::Envelope());
    }
    auto ask(const std::string &address, const std::string &method, const std::string &target,
             const std::string &body = "") -> boost::json::object
    {
        const auto request = http::Request { method, target, {}, body, "" };
        const auto answer =
            asio::co_spawn(m_context, http::fetch(address, request, PATIENCE), asio::use_future)
                .get();
        return answer.ok() ? boost::json::parse(answer->body).as_object() : boost::json::object();
    }
    //! Sends completions until the server has been warm for a while.
    auto warmUp() -> void
    {
        submit(completion("warm-up", "p", 1));
        outcome("warm-up");
        std::this_thread::sleep_for(WARM_UP * 3 / 2);
    }

    asio::io_context m_context;
    asio::io_context m_serverContext;
    FakeLink m_link;
    FakeMembership m_membership;
    FakeInventory m_inventory;
    FakeLog m_log;
    process::metrics::Registry m_registry;
    version::configuration::Configuration m_configuration;
    std::unique_ptr<standins::EngineServer> m_engine;
    std::unique_ptr<standins::PlainServer> m_plain;
    std::unique_ptr<http::HttpServer> m_engineHttp;
    std::unique_ptr<http::HttpServer> m_plainHttp;
    std::string m_engineAddress;
    std::string m_plainAddress;
    std::shared_ptr<Dispatcher> m_dispatcher;
    std::array<std::thread, 2> m_workers;
    std::thread m_serverThread;
};

} // namespace nutmegplank::process::dispatch
