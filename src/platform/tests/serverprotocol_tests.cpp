#include <gtest/gtest.h>

#include "platform/serverprotocol.h"

using namespace nutmegplank;
using namespace nutmegplank::platform;

namespace {

auto limitIn(const std::string &value) -> std::optional<double>
{
    auto head = connection::http::Response();
    head.headers.push_back({ "Server-Limit", value });
    return ServerProtocol().readHead(head).requestLimit;
}

} // namespace

TEST(ServerProtocol, ServerProtocol_LimitInAResponse_IsADecimalNumber)
{
    EXPECT_EQ(limitIn("4.5"), 4.5);
    EXPECT_EQ(limitIn("12"), 12.0);
    EXPECT_EQ(limitIn("0"), 0.0);
}

TEST(ServerProtocol, ServerProtocol_LimitThatIsNoNumber_IsNone)
{
    for (const auto *value : { "", "many", "4.5 or so", "-1", "nan", "inf", "1e999" })
        EXPECT_EQ(limitIn(value), std::nullopt) << value;
    EXPECT_EQ(ServerProtocol().readHead({}).requestLimit, std::nullopt);
}

TEST(ServerProtocol, ServerProtocol_LeavingServer_SaysSoInAnyResponse)
{
    for (const auto status : { 200U, 421U, 503U, 500U }) {
        auto head = connection::http::Response();
        head.status = status;
        EXPECT_FALSE(ServerProtocol().readHead(head).leaving);
        head.headers.push_back({ "server-leaving", "1" });
        EXPECT_TRUE(ServerProtocol().readHead(head).leaving);
        head.headers.back().value = "0";
        EXPECT_FALSE(ServerProtocol().readHead(head).leaving);
    }
}
