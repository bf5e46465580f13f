#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include "request/forward/streamversions.h"

using namespace nutmegplank;
using namespace nutmegplank::request::forward;
using namespace std::chrono_literals;

namespace {

const auto NOW = base::TimePoint(base::Duration(1h));

class FakeOrigins : public IStreamOrigins
{
public:
    auto mustRecord(const std::string &, const std::string &software) const -> bool override
    {
        return software != "1.0";
    }
    auto canRecord() const -> bool override { return available; }
    auto record(version::streamorigin::StreamOrigin origin) -> boost::asio::awaitable<bool> override
    {
        recorded.push_back(origin.software);
        co_return available;
    }
    auto find(std::string, std::string, version::routing::Owner)
        -> boost::asio::awaitable<OriginAnswer> override
    {
        co_return answer;
    }

    bool available = true;
    OriginAnswer answer;
    std::vector<std::string> recorded;
};

class StreamVersionsTest : public testing::Test
{
protected:
    StreamVersionsTest()
    {
        addServer("a", "1.0");
        addServer("b", "2.0");
        call.route.kind = version::routing::RouteKind::Stream;
        call.route.resumable = true;
        call.route.services = { { "talk", 1.0 } };
        call.requestId = "r1";
    }

    auto addServer(const std::string &id, const std::string &software) -> void
    {
        auto record = process::servers::ServerRecord();
        record.id = id;
        record.service = "talk";
        record.software = software;
        servers.update(std::move(record), 1, NOW);
    }
    auto server(const std::string &id) const -> const process::servers::Server &
    {
        return *servers.find(id);
    }
    auto run(boost::asio::awaitable<std::optional<ForwardResult>> task)
        -> std::optional<ForwardResult>
    {
        auto context = boost::asio::io_context();
        auto ended = boost::asio::co_spawn(context, std::move(task), boost::asio::use_future);
        context.run();
        return ended.get();
    }

    auto runVoid(boost::asio::awaitable<void> task) -> void
    {
        auto context = boost::asio::io_context();
        boost::asio::co_spawn(context, std::move(task), boost::asio::detached);
        context.run();
    }

    process::servers::ServerTable servers { {} };
    process::health::ServerHealth health;
    FakeOrigins origins;
    StreamVersions versions { servers, health, origins };
    ForwardCall call;
};

} // namespace

TEST_F(StreamVersionsTest, StreamVersions_TakeUp_GoesToTheVersionThatBeganTheStream)
{
    call.resumesStream = true;
    origins.answer = { "2.0" };
    EXPECT_FALSE(run(versions.prepare(call)).has_value());
    EXPECT_FALSE(versions.maySend(call, server("a")));
    EXPECT_TRUE(versions.maySend(call, server("b")));
    EXPECT_FALSE(versions.mustRecord(call, server("b")));
}

TEST_F(StreamVersionsTest, StreamVersions_VersionThatLeft_IsRefusedForGood)
{
    call.resumesStream = true;
    origins.answer = { "0.9" };
    const auto result = run(versions.prepare(call));
    EXPECT_EQ(result->end, ForwardOutcome::CannotResume);
    EXPECT_EQ(result->retryAfter, 0s);
}

TEST_F(StreamVersionsTest, StreamVersions_LogThatCannotBeRead_IsWorthAnotherTry)
{
    call.resumesStream = true;
    origins.answer = { std::nullopt, true };
    const auto result = run(versions.prepare(call));
    EXPECT_EQ(result->end, ForwardOutcome::NotRun);
    EXPECT_GT(result->retryAfter, 0s);
}

TEST_F(StreamVersionsTest, StreamVersions_NewStreamAtAnotherVersion_IsRecordedAndKeptToIt)
{
    EXPECT_FALSE(versions.mustRecord(call, server("a")));
    ASSERT_TRUE(versions.mustRecord(call, server("b")));
    EXPECT_FALSE(run(versions.record(call, server("b"), false)).has_value());
    EXPECT_EQ(origins.recorded, std::vector<std::string> { "2.0" });
    EXPECT_FALSE(versions.mustRecord(call, server("b")));
    EXPECT_FALSE(versions.maySend(call, server("a")));
}

TEST_F(StreamVersionsTest, StreamVersions_LogIsAway_NewStreamsBeginAtTheBaselineOnly)
{
    origins.available = false;
    EXPECT_TRUE(versions.maySend(call, server("a")));
    EXPECT_FALSE(versions.maySend(call, server("b")));
    const auto result = run(versions.record(call, server("b"), false));
    EXPECT_EQ(result->end, ForwardOutcome::NotRun);
}

TEST_F(StreamVersionsTest, StreamVersions_ServerThatWasUnreachable_GoesOnWithNothing)
{
    call.resumesStream = true;
    origins.answer = { "2.0" };
    EXPECT_FALSE(run(versions.prepare(call)).has_value());
    health.noteUnreachable("b", {}, NOW + 1s);
    EXPECT_FALSE(versions.maySend(call, server("b")));
    addServer("c", "2.0");
    EXPECT_TRUE(versions.maySend(call, server("c")));
}

TEST_F(StreamVersionsTest,
       StreamVersions_ServerThatCameBackWithOtherSoftware_LeavesTheOriginUnknown)
{
    const auto begunAt = server("a");
    runVoid(versions.verify(call, begunAt));
    EXPECT_TRUE(origins.recorded.empty());
    addServer("a", "2.0");
    runVoid(versions.verify(call, begunAt));
    EXPECT_EQ(origins.recorded, std::vector<std::string> { "" });
}

TEST_F(StreamVersionsTest, StreamVersions_RouteWhoseStreamsAreNotResumable_IsNotRestricted)
{
    call.route.resumable = false;
    call.resumesStream = true;
    EXPECT_FALSE(run(versions.prepare(call)).has_value());
    EXPECT_TRUE(versions.maySend(call, server("a")));
    EXPECT_TRUE(versions.maySend(call, server("b")));
}
