#include <gtest/gtest.h>

#include "connection/http/tests/answerof.h"

using nutmegplank::connection::http::tests::answerOf;

namespace {

constexpr auto FINAL = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy";

} // namespace

//! A relayed batch counted as accepted by its interim response 100; the refusal came after it.
TEST(InterimResponses, InterimResponses_BeforeTheFinalOne_AreSkipped)
{
    for (const auto *interim :
         { "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n",
           "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" }) {
        const auto answer = answerOf(std::string(interim) + FINAL);
        ASSERT_TRUE(answer.ok()) << answer.status();
        EXPECT_EQ(answer->status, 503U);
        EXPECT_EQ(answer->body, "busy");
    }
}

TEST(InterimResponses, InterimResponses_WithoutAFinalOne_AreAnError)
{
    EXPECT_FALSE(answerOf("HTTP/1.1 100 Continue\r\n\r\n").ok());
    auto many = std::string();
    for (auto count = 0; count < 100; ++count)
        many += "HTTP/1.1 100 Continue\r\n\r\n";
    EXPECT_FALSE(answerOf(many + FINAL).ok());
}

TEST(InterimResponses, InterimResponses_SwitchOfTheProtocol_IsAnError)
{
    EXPECT_FALSE(answerOf(std::string("HTTP/1.1 101 Switching Protocols\r\n\r\n") + FINAL).ok());
}
