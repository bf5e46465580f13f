#include <gtest/gtest.h>

#include <boost/asio.hpp>

#include "connection/http/httpserver.h"
#include "platform/storeclient.h"

using namespace nutmegplank;
using namespace nutmegplank::version::journal;
namespace asio = boost::asio;
namespace http = connection::http;

namespace {

constexpr auto CALL_TIMEOUT = std::chrono::seconds(2);

//! A server that gives every request the same response, optionally after some responses with status
//! 429, and a store client connected to it.
class FixedResponseStore
{
public:
    FixedResponseStore(std::uint32_t status, std::string body, int refusals = 0)
        : m_refusals(refusals)
        , m_server(m_context, {},
                   [this](http::Request, http::IHttpResponder &responder) -> asio::awaitable<void> {
                       auto response = m_refusals > 0 ? http::jsonResponse(429, "") : m_response;
                       m_refusals = std::max(0, m_refusals - 1);
                       co_await responder.respond(std::move(response));
                   })
    {
        m_response = http::jsonResponse(status, std::move(body));
        const auto port = m_server.listen("127.0.0.1", 0);
        m_client = std::make_unique<platform::StoreClient>("127.0.0.1:" + std::to_string(*port),
                                                           AppendLimits(), m_metrics);
    }

    auto append() -> AppendResult
    {
        auto result = AppendResult();
        runToCompletion([&]() -> asio::awaitable<void> {
            auto records = std::vector<std::string> { "record" };
            auto partition = Partition { "topic", 0 };
            result = co_await m_client->appendUnconditionally(std::move(partition),
                                                              std::move(records), CALL_TIMEOUT);
        });
        return result;
    }

    auto read() -> absl::StatusOr<Page>
    {
        auto page = absl::StatusOr<Page>();
        runToCompletion([&]() -> asio::awaitable<void> {
            auto partition = Partition { "topic", 0 };
            const auto times = ReadTimes();
            page = co_await m_client->read(std::move(partition), 5, times);
        });
        return page;
    }

    auto newest() -> absl::StatusOr<KeyedPage>
    {
        auto page = absl::StatusOr<KeyedPage>();
        runToCompletion(
            [&]() -> asio::awaitable<void> { page = co_await m_client->newest("keyed.op"); });
        return page;
    }

private:
    template <typename Call>
    auto runToCompletion(Call call) -> void
    {
        asio::co_spawn(m_context, call(), [this](std::exception_ptr) { m_context.stop(); });
        m_context.run();
        m_context.restart();
    }

    int m_refusals = 0; //!< Responses with status 429 still to give before m_response.
    asio::io_context m_context { 1 };
    process::metrics::Registry m_metrics;
    http::Response m_response;
    http::HttpServer m_server;
    std::unique_ptr<platform::StoreClient> m_client;
};

} // namespace

TEST(StoreClient, StoreClient_SuccessfulAppend_ReturnsOffsetAndEnd)
{
    const auto result = FixedResponseStore(200, R"({"offset":7,"end":8})").append();
    EXPECT_EQ(result.outcome, AppendOutcome::Done);
    EXPECT_EQ(result.offset, 7U);
    EXPECT_EQ(result.end, 8U);
}

TEST(StoreClient, StoreClient_AppendResponseWithoutOffset_HasUnknownOutcome)
{
    for (const auto *body : { R"({"end":8})", R"({"offset":"7","end":8})", "[]", "" })
        EXPECT_EQ(FixedResponseStore(200, body).append().outcome, AppendOutcome::Unknown) << body;
}

TEST(StoreClient, StoreClient_RefusedAppend_IsMappedToItsOutcome)
{
    EXPECT_EQ(FixedResponseStore(503, "").append().outcome, AppendOutcome::NotWritten);
    EXPECT_EQ(FixedResponseStore(429, "").append().outcome, AppendOutcome::NotWritten);
    EXPECT_EQ(FixedResponseStore(412, R"({"end":9})").append().outcome, AppendOutcome::Conflict);
    EXPECT_EQ(FixedResponseStore(409, R"({"why":"fenced"})").append().outcome,
              AppendOutcome::Fenced);
}

//! Records above the store's bound used to be sent again for ever.
TEST(StoreClient, StoreClient_RefusalThatLasts_IsToldFromOneThatPasses)
{
    for (const auto status : { 400U, 403U, 404U, 413U, 422U })
        EXPECT_EQ(FixedResponseStore(status, "").append().outcome, AppendOutcome::Rejected)
            << status;
    for (const auto status : { 408U, 425U, 429U, 500U, 502U, 503U, 507U })
        EXPECT_EQ(FixedResponseStore(status, "").append().outcome, AppendOutcome::NotWritten)
            << status;
}

TEST(StoreClient, StoreClient_CompactedRange_ReturnsFirstRetainedOffset)
{
    const auto page = FixedResponseStore(410, R"({"first":12})").read();
    ASSERT_TRUE(page.ok());
    EXPECT_TRUE(page->compacted);
    EXPECT_EQ(page->first, 12U);
    EXPECT_FALSE(FixedResponseStore(410, "{}").read().ok());
}

TEST(StoreClient, StoreClient_TruncatedPage_ReturnsError)
{
    EXPECT_FALSE(FixedResponseStore(200, std::string(15, '\0')).read().ok());
    EXPECT_FALSE(FixedResponseStore(200,
                                    std::string(16, '\0')
                                        + std::string("\0\0\0\x09"
                                                      "short",
                                                      9))
                     .read()
                     .ok());
}

TEST(StoreClient, StoreClient_SnapshotPage_NeedsEndAndCompleteItems)
{
    EXPECT_EQ(FixedResponseStore(200, R"({"items":[],"has_more":false})").newest().ok(), false);
    EXPECT_EQ(
        FixedResponseStore(200, R"({"items":[{"key":"config","offset":3,"value":"%"}],"end":4})")
            .newest()
            .ok(),
        false);
    EXPECT_EQ(FixedResponseStore(200, R"({"items":[{"key":"config","value":"e30="}],"end":4})")
                  .newest()
                  .ok(),
              false);
    const auto page =
        FixedResponseStore(200, R"({"items":[{"key":"config","value":"e30=","offset":3}],"end":4})")
            .newest();
    ASSERT_TRUE(page.ok());
    EXPECT_EQ(page->records.front().value, "{}");
    EXPECT_EQ(page->end, 4U);
}

//! Without an end the machine would read pages for ever and follow nothing.
TEST(StoreClient, StoreClient_EmptyPageThatIsNotTheLast_ReturnsError)
{
    EXPECT_FALSE(FixedResponseStore(200, R"({"items":[],"has_more":true,"end":4})").newest().ok());
}

TEST(StoreClient, StoreClient_TooManyRequests_RetriesSnapshotPagesOnly)
{
    const auto *body = R"({"items":[],"has_more":false,"end":4})";
    EXPECT_TRUE(FixedResponseStore(200, body, 2).newest().ok());
    const auto page = FixedResponseStore(200, std::string(16, '\0'), 1).read();
    EXPECT_EQ(page.status().code(), absl::StatusCode::kUnavailable);
}
