#include <boost/json.hpp>
#include <gtest/gtest.h>

#include "platform/callprotocol.h"

using namespace nutmegplank;
using namespace nutmegplank::platform;
using namespace std::chrono_literals;
using connection::http::headerValue;
using connection::http::Request;
using request::call::CallKind;

namespace {

auto makeRequest(const std::string &method, const std::string &target) -> Request
{
    auto request = Request();
    request.method = method;
    request.target = target;
    request.headers = { { "Host", "h.example" },  { "Authorization", "Bearer secret" },
                        { "X-Request-Id", "r1" }, { "X-Deadline-Ms", "1500" },
                        { "X-Wait-Ms", "1000" },  { "Connection", "keep-alive" } };
    return request;
}

} // namespace

TEST(CallProtocol, CallProtocol_MethodAndPath_DetermineCallKind)
{
    const auto protocol = CallProtocol();
    const auto read = protocol.readCall(makeRequest("GET", "/v1/lots/b1?after=12"));
    EXPECT_EQ(read.kind, CallKind::ReadResults);
    EXPECT_EQ(read.batchId, "b1");
    EXPECT_EQ(read.position, 12U);
    EXPECT_EQ(read.wait, 1000ms);
    EXPECT_EQ(read.credential.kind, version::routing::CredentialKind::Key);
    EXPECT_EQ(read.credential.key, "secret");
    const auto body = protocol.readCall(makeRequest("GET", "/v1/items/b1?id=i7"));
    EXPECT_EQ(body.kind, CallKind::ReadBody);
    EXPECT_EQ(body.itemId, "i7");
    EXPECT_EQ(protocol.readCall(makeRequest("DELETE", "/v1/lots/b1")).kind, CallKind::EndBatch);
    const auto other = protocol.readCall(makeRequest("POST", "/p/1?x=y"));
    EXPECT_EQ(other.kind, CallKind::Request);
    EXPECT_EQ(other.path, "/p/1");
    EXPECT_EQ(other.timeLeft, 1500ms);
}

TEST(CallProtocol, CallProtocol_Submission_KeepsItemsAndTokenEstimates)
{
    const auto protocol = CallProtocol();
    const auto call = protocol.readCall(makeRequest("POST", "/p/r1"));
    const auto batch =
        protocol.readSubmission(call, R"({"step":7,"model":"m","min_version":6,"group_count":12,
      "items":[{"id":"i1","path":"/p/3/1","headers":{"X-Token-Usage":"540,400","X-Length-Hint":"120"},
                "body":"q83vEjRWeJA=","tokens":940,"group":"g"}]})");
    ASSERT_TRUE(batch.ok()) << batch.status();
    EXPECT_EQ(batch->head.id, "r1");
    EXPECT_EQ(batch->head.minVersion, 6U);
    const auto &item = batch->items.front();
    EXPECT_EQ(item.body, "\xab\xcd\xef\x12\x34\x56\x78\x90");
    EXPECT_EQ(item.promptTokens, 540U);
    EXPECT_EQ(item.expectedOutput, 120U);
    EXPECT_EQ(headerValue(item.headers, "X-Request-Id"), "i1");
}

TEST(CallProtocol, CallProtocol_Scorer_IsReadAndItsScoreWritten)
{
    const auto protocol = CallProtocol();
    const auto call = protocol.readCall(makeRequest("POST", "/p/r1"));
    const auto batch =
        protocol.readSubmission(call, R"({"items":[{"id":"i1","path":"/p/1","body":"",
      "scorer":{"id":"s1","host":"h.example","path":"/q/5e07","body":"3q2+7w=="}}]})");
    ASSERT_TRUE(batch.ok()) << batch.status();
    ASSERT_TRUE(batch->items.front().scorer.has_value());
    EXPECT_EQ(batch->items.front().scorer->id, "s1");
    EXPECT_EQ(batch->items.front().scorer->path, "/q/5e07");
    EXPECT_EQ(batch->items.front().scorer->body, "\xde\xad\xbe\xef");
    const auto page = protocol.writeResults(1, 0, { { 0, "i1", false, "t", { 2 }, "3e1b.07" } });
    EXPECT_NE(page.body.find(R"("score":"3e1b.07")"), std::string::npos);
    const auto unscored = protocol.writeResults(1, 0, { { 0, "i1", false, "t", { 2 } } });
    EXPECT_EQ(unscored.body.find("score"), std::string::npos);
}

//! One text that is not UTF-8 made every page that held it unreadable for callers.
TEST(CallProtocol, CallProtocol_StoredTextThatIsNotUtf8_LeavesThePageReadable)
{
    const auto page = CallProtocol().writeResults(
        2, 0, { { 0, "i1", false, "a\x80z", { 2 }, "\xFF" }, { 1, "i2", false, "sound", { 2 } } });
    const auto body = boost::json::parse(page.body);
    const auto &results = body.at("results").as_array();
    EXPECT_EQ(results.at(0).at("text").as_string(), "a\xEF\xBF\xBDz");
    EXPECT_EQ(results.at(1).at("text").as_string(), "sound");
}

TEST(CallProtocol, CallProtocol_RefusalOfARequestIdThatIsNotUtf8_IsJson)
{
    const auto response = CallProtocol().writeRefusal(
        { request::call::RefusalCode::NoServer, "all are busy", 60ms }, "r\xff\xfe");
    auto error = boost::json::error_code();
    boost::json::parse(response.body, error);
    EXPECT_FALSE(error) << response.body;
}

TEST(CallProtocol, CallProtocol_MalformedSubmission_IsRejectedAsAWhole)
{
    const auto protocol = CallProtocol();
    const auto call = protocol.readCall(makeRequest("POST", "/p/r1"));
    for (const auto *body : { "", "{}", R"({"items":[]})", R"({"items":[{"id":"i"}]})",
                              R"({"items":[{"id":"i","path":"/p","body":"%%%%"}]})",
                              R"({"items":[{"id":"i","path":"/p","scorer":{"id":"s"}}]})" })
        EXPECT_FALSE(protocol.readSubmission(call, body).ok()) << body;
}

//! Records of the log with text that is not UTF-8 cannot be read back: the batch would be accepted
//! and lost.
TEST(CallProtocol, CallProtocol_SubmissionIdThatIsNoText_IsRejected)
{
    const auto protocol = CallProtocol();
    constexpr auto BODY = R"({"items":[{"id":"i1","path":"/p/1","body":""}]})";
    auto request = makeRequest("POST", "/p/r1");
    EXPECT_TRUE(protocol.readSubmission(protocol.readCall(request), BODY).ok());
    request.headers[2].value = "r\xff\xfe";
    EXPECT_FALSE(protocol.readSubmission(protocol.readCall(request), BODY).ok());
    request = makeRequest("POST", "/p/\xff");
    EXPECT_FALSE(protocol.readSubmission(protocol.readCall(request), BODY).ok());
}

TEST(CallProtocol, CallProtocol_ForwardedRequest_DropsKeyAndKeepsHost)
{
    const auto forwarded = CallProtocol().toServerRequest(makeRequest("POST", "/p/1"));
    EXPECT_EQ(headerValue(forwarded.headers, "Authorization"), "");
    EXPECT_EQ(headerValue(forwarded.headers, "Connection"), "");
    EXPECT_EQ(headerValue(forwarded.headers, "Host"), "h.example");
    EXPECT_EQ(headerValue(forwarded.headers, "X-Request-Id"), "r1");
}

//! Whatever is no single key must not pass for none on routes that need none.
TEST(CallProtocol, CallProtocol_Credential_IsTheOnlyKey)
{
    using version::routing::CredentialKind;
    struct Case
    {
        std::vector<std::string> authorization;
        CredentialKind kind;
        std::string key;
    };
    const auto cases = std::vector<Case> {
        { {}, CredentialKind::None, "" },
        { { "" }, CredentialKind::None, "" },
        { { "Basic YTpi" }, CredentialKind::None, "" },
        { { "Bearers k" }, CredentialKind::None, "" },
        { { "Bearer k" }, CredentialKind::Key, "k" },
        { { "bEARER \t k " }, CredentialKind::Key, "k" },
        { { "Basic YTpi", "Bearer k" }, CredentialKind::Key, "k" },
        { { "Bearer k", "Bearer k" }, CredentialKind::Key, "k" },
        { { "Bearer k, Bearer j" }, CredentialKind::Key, "k, Bearer j" },
        { { "Bearer" }, CredentialKind::Unusable, "" },
        { { "Bearer  " }, CredentialKind::Unusable, "" },
        { { "Bearer k", "Bearer j" }, CredentialKind::Unusable, "" },
        { { "Bearer k", "Bearer" }, CredentialKind::Unusable, "" },
    };
    for (const auto &expected : cases) {
        auto request = makeRequest("POST", "/p/1");
        connection::http::removeHeader(request.headers, "Authorization");
        for (const auto &value : expected.authorization)
            request.headers.push_back({ "authorization", value });
        const auto credential = CallProtocol().readCall(request).credential;
        const auto name = expected.authorization.empty() ? "none" : expected.authorization.back();
        EXPECT_EQ(credential.kind, expected.kind) << name;
        EXPECT_EQ(credential.key, expected.key) << name;
    }
}

//! Backend servers got keys and workspaces that callers had written into the headers of items.
TEST(CallProtocol, CallProtocol_ItemHeaders_HoldNeitherKeyNorWorkspace)
{
    const auto protocol = CallProtocol();
    const auto call = protocol.readCall(makeRequest("POST", "/p/r1"));
    const auto batch = protocol.readSubmission(
        call, R"({"items":[{"id":"i1","path":"/p/1","headers":{"Authorization":"Bearer k",
      "authorization":"Bearer k","x-tenant":"cafe","X-Tenant":"cafe","Host":"other","X-Model":"m",
      "Connection":"X-Model","X-Request-Id":"other"}}]})");
    ASSERT_TRUE(batch.ok()) << batch.status();
    const auto &headers = batch->items.front().headers;
    ASSERT_EQ(headers.size(), 1U);
    EXPECT_EQ(headers.front().name, "X-Request-Id");
    EXPECT_EQ(headers.front().value, "i1");
}

//! A line break in what a caller names would add a header of the caller's choice to the request.
TEST(CallProtocol, CallProtocol_ItemsThatCannotBeSentAsTheyAre_AreRejected)
{
    const auto protocol = CallProtocol();
    const auto call = protocol.readCall(makeRequest("POST", "/p/r1"));
    for (const auto *item :
         { R"({"id":"i1","path":"/p/1","headers":{"X-Note":"a\r\nX-Tenant: cafe"}})",
           R"({"id":"i1","path":"/p/1","headers":{"X-Note":"a\u0000"}})",
           R"({"id":"i1","path":"/p/1","headers":{"X-Tenant ":"cafe"}})",
           R"({"id":"i1","path":"/p/1","headers":{"X-Tenant:":"cafe"}})",
           R"({"id":"i1\r\nX-Tenant: cafe","path":"/p/1"})", R"({"id":"i1","path":""})",
           R"({"id":"i1","path":"/p/1 HTTP/1.1\r\nX-Tenant: cafe\r\nX-Note:"})",
           R"({"id":"i1","path":"/p","scorer":{"id":"s\r\nX-Tenant: a","host":"h","path":"/q"}})",
           R"({"id":"i1","path":"/p","scorer":{"id":"s","host":"h\r\nX-Tenant: a","path":"/q"}})",
           R"({"id":"i1","path":"/p","scorer":{"id":"s","host":"h","path":"/q 1"}})" }) {
        const auto body = std::string(R"({"items":[)") + item + "]}";
        EXPECT_FALSE(protocol.readSubmission(call, body).ok()) << item;
    }
}

TEST(CallProtocol, CallProtocol_Refusal_CarriesRetryAfter)
{
    const auto response = CallProtocol().writeRefusal(
        { request::call::RefusalCode::NoServer, "all are busy", 60ms }, "r1");
    EXPECT_EQ(response.status, 503U);
    EXPECT_EQ(headerValue(response.headers, "Retry-After"), "0.06");
    EXPECT_NE(response.body.find("no_server"), std::string::npos);
}

//! Whatever answered at another machine's address counted as its word that a batch is kept.
TEST(CallProtocol, CallProtocol_AcceptedBatch_IsToldFromOtherAnswers)
{
    const auto protocol = CallProtocol();
    EXPECT_TRUE(protocol.isAccepted(protocol.writeAccepted("b1"), "b1"));
    EXPECT_FALSE(protocol.isAccepted(protocol.writeAccepted("b1"), "b2"));
    EXPECT_FALSE(protocol.isAccepted(connection::http::jsonResponse(200, "{}"), "b1"));
    EXPECT_FALSE(protocol.isAccepted(connection::http::jsonResponse(202, "{}"), "b1"));
}

TEST(CallProtocol, CallProtocol_RequestTooLarge_IsRefusedForGood)
{
    const auto refusal = CallProtocol().writeRefusal(
        { request::call::RefusalCode::TooLarge, "no engine has the memory", base::Duration(0) },
        "r1");
    EXPECT_EQ(refusal.status, 413U);
    EXPECT_TRUE(connection::http::headerValue(refusal.headers, "Retry-After").empty());
}

TEST(CallProtocol, CallProtocol_SizeOfRequest_IsItsTokensOrItsBody)
{
    auto request = connection::http::Request();
    request.body = "mats";
    EXPECT_EQ(CallProtocol().readCall(request).size, (process::health::RequestSize { 0, 0, 4 }));
    request.headers.push_back({ "X-Token-Usage", "540, 400" });
    EXPECT_EQ(CallProtocol().readCall(request).size,
              (process::health::RequestSize { 540, 940, 0 }));
    request.headers.back().value = "540,18446744073709551615";
    EXPECT_EQ(CallProtocol().readCall(request).size, (process::health::RequestSize { 0, 0, 4 }));
}
