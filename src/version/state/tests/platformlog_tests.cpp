#include "version/state/platformlog.h"

#include <thread>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <gtest/gtest.h>

#include "base/text.h"
#include "connection/http/httpserver.h"
#include "logservice.h"
#include "process/clock/clock.h"
#include "version/lease/ilease.h"
#include "version/state/snapshotwriter.h"

using namespace nutmegplank;
using namespace nutmegplank::version::state;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto TIMEOUT = std::chrono::seconds(10);

//! The log service and clients that follow it, on several threads.
class PlatformLogTest : public testing::Test
{
protected:
    auto SetUp() -> void override
    {
        m_server = std::make_unique<connection::http::HttpServer>(
            m_context, connection::http::ServerLimits(),
            [this](connection::http::Request request, connection::http::IHttpResponder &responder) {
                return m_service.handle(std::move(request), responder);
            });
        m_endpoint = base::concat("127.0.0.1:", *m_server->listen("127.0.0.1", 0));
        for (auto &worker : m_workers)
            worker = std::thread([this] { m_context.run(); });
    }
    auto TearDown() -> void override
    {
        m_context.stop();
        for (auto &worker : m_workers)
            worker.join();
    }
    auto makeLog(const std::string &member) -> std::unique_ptr<IPlatformLog>
    {
        auto options = PlatformLogOptions();
        options.endpoint = m_endpoint;
        options.member = member;
        options.pollTime = std::chrono::milliseconds(100);
        return makePlatformLog(m_context, options);
    }
    auto injectFault(const std::string &body) -> void
    {
        ASSERT_EQ(m_service.control({ "POST", "/control", {}, body, "" }).status, 200U);
    }
    auto change(IPlatformLog &log, const std::string &id, std::uint64_t baseVersion,
                const std::string &workspace) -> absl::StatusOr<std::uint64_t>
    {
        auto value = json::object { { "name", workspace }, { "weight", 1 } };
        auto entry =
            json::object { { "object", "workspace" }, { "name", workspace }, { "value", value } };
        auto body = json::object { { "base_version", baseVersion },
                                   { "who", "o" },
                                   { "what", "t" },
                                   { "changes", json::array { entry } } };
        return asio::co_spawn(m_context,
                              log.append(RecordKind::ConfigurationChange, id, body, TIMEOUT),
                              asio::use_future)
            .get();
    }
    static auto waitUntil(const std::function<bool()> &condition) -> bool
    {
        const auto deadline = process::clock::now() + TIMEOUT;
        while (!condition() && process::clock::now() < deadline)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        return condition();
    }

    asio::io_context m_context;
    standins::log::LogService m_service;
    std::unique_ptr<connection::http::HttpServer> m_server;
    std::string m_endpoint;
    std::array<std::thread, 3> m_workers;
};

} // namespace

// Guards against a retried append that is applied twice, or rejected as a conflict with its own
// first attempt, after the response to that attempt was lost.
TEST_F(PlatformLogTest, PlatformLog_Append_TakesEffectOnceWhenResponsesAreLost)
{
    const auto log = makeLog("a");
    const auto other = makeLog("b");
    injectFault(R"({"lose_answers": 3})");
    const auto offset = change(*log, "c1", 0, "w1");
    ASSERT_TRUE(offset.ok()) << offset.status();
    EXPECT_EQ(log->state()->configuration->version, *offset);
    injectFault(R"({"lose_answers": 0.5, "append_rate": 50})");
    auto version = *offset;
    for (auto number = 2; number < 12; ++number) {
        const auto next =
            change(*log, base::concat("c", number), version, base::concat("w", number));
        ASSERT_TRUE(next.ok()) << next.status();
        version = *next;
    }
    EXPECT_TRUE(waitUntil([&] { return other->state()->configuration->version == version; }));
    EXPECT_EQ(other->state()->configuration->workspaces.size(), 11U);
    EXPECT_EQ(other->state()->audit.size(), 11U)
        << "a retry must not conflict with its own first attempt";
}

TEST_F(PlatformLogTest, PlatformLog_Append_OneOfTwoRacingChangesIsAborted)
{
    const auto left = makeLog("a");
    const auto right = makeLog("b");
    auto leftResult = absl::StatusOr<std::uint64_t>(0);
    auto racer = std::thread([&] { leftResult = change(*left, "l", 0, "left"); });
    const auto rightResult = change(*right, "r", 0, "right");
    racer.join();
    EXPECT_NE(leftResult.ok(), rightResult.ok());
    const auto &rejected = leftResult.ok() ? rightResult : leftResult;
    EXPECT_EQ(rejected.status().code(), absl::StatusCode::kAborted);
}

TEST_F(PlatformLogTest, PlatformLog_Outage_StopsConfirmationsAndKeepsTheState)
{
    const auto log = makeLog("a");
    ASSERT_TRUE(change(*log, "c1", 0, "w1").ok());
    injectFault(R"({"outage": true})");
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    const auto confirmed = log->lastConfirmed();
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    EXPECT_EQ(log->lastConfirmed(), confirmed);
    EXPECT_EQ(log->state()->configuration->workspaces.size(), 1U);
    injectFault(R"({"outage": false})");
    EXPECT_TRUE(waitUntil([&] {
        return process::clock::now() - log->lastConfirmed() < std::chrono::milliseconds(200);
    }));
}

TEST_F(PlatformLogTest, PlatformLog_Retention_NewProcessStartsFromTheSnapshot)
{
    const auto log = makeLog("a");
    auto options = version::lease::LeaseOptions();
    options.scope = "snapshot";
    options.holder = "a#1";
    options.term = std::chrono::milliseconds(600);
    const auto lease = version::lease::makeLease(m_context, *log, options);
    auto writerOptions = SnapshotWriterOptions();
    writerOptions.maxRecordsBetweenSnapshots = 20;
    writerOptions.checkInterval = std::chrono::milliseconds(20);
    const auto writer = makeSnapshotWriter(m_context, *log, *lease, writerOptions);
    auto version = std::uint64_t(0);
    for (auto number = 0; number < 30; ++number)
        version =
            change(*log, base::concat("c", number), version, base::concat("w", number)).value();
    const auto written = writer->snapshotsWritten();
    ASSERT_TRUE(waitUntil([&] { return writer->snapshotsWritten() > written; }));
    injectFault(R"({"retention_records": 40})");
    const auto fresh = makeLog("b");
    EXPECT_TRUE(waitUntil([&] { return fresh->state()->configuration->version == version; }));
    EXPECT_EQ(fresh->state()->configuration->workspaces.size(), 30U);
    EXPECT_EQ(fresh->state()->audit.size(), 30U);
}

TEST_F(PlatformLogTest, PlatformLog_Lease_PassesToTheNextHolderWithoutOverlap)
{
    const auto left = makeLog("a");
    const auto right = makeLog("b");
    auto options = version::lease::LeaseOptions();
    options.scope = "plan";
    options.term = std::chrono::milliseconds(300);
    options.holder = "a#1";
    auto first = version::lease::makeLease(m_context, *left, options);
    const auto held = [](const auto &lease) {
        return lease->fencingNumber(process::clock::now()).has_value();
    };
    ASSERT_TRUE(waitUntil([&] { return held(first); }));
    options.holder = "b#1";
    const auto second = version::lease::makeLease(m_context, *right, options);
    const auto before = *first->fencingNumber(process::clock::now());
    first->release();
    EXPECT_FALSE(held(first));
    ASSERT_TRUE(waitUntil([&] { return held(second); }));
    EXPECT_GT(*second->fencingNumber(process::clock::now()), before);
}
