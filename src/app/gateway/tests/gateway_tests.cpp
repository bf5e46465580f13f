#include <gtest/gtest.h>

#include "app/gateway/requestspec.h"
#include "app/gateway/shutdownplan.h"

using namespace nutmegplank;
using namespace nutmegplank::app::gateway;
using namespace std::chrono_literals;
using request::admission::AdmittedRequest;
using request::execution::RequestSpec;

namespace {

const auto s_now = base::TimePoint(base::Duration(1h));

auto engineRequest(std::string body) -> AdmittedRequest
{
    auto admitted = AdmittedRequest();
    admitted.service.kind = version::configuration::ServiceKind::Engine;
    admitted.service.requestTimeout = 30s;
    admitted.request.body = std::move(body);
    return admitted;
}

} // namespace

TEST(ShutdownPlan, Gateway_Shutdown_WaitsForCallersStepsAndExchanges)
{
    auto plan = ShutdownPlan(5s);
    EXPECT_EQ(plan.advance({}, s_now), ShutdownStage::Serving);
    plan.begin(s_now);
    EXPECT_EQ(plan.advance({}, s_now + 5s), ShutdownStage::Leaving);
    EXPECT_EQ(plan.advance({ 0, 1, 0 }, s_now + 60s), ShutdownStage::Leaving);
    EXPECT_EQ(plan.advance({ 1, 0, 0 }, s_now + 61s), ShutdownStage::Finishing);
    EXPECT_EQ(plan.advance({ 0, 0, 1 }, s_now + 600s), ShutdownStage::Finishing);
    EXPECT_EQ(plan.advance({}, s_now + 601s), ShutdownStage::Finished);
}

TEST(RequestSpec, Gateway_Spec_ReadsTheEngineBodyAndTheDeadline)
{
    const auto admitted = engineRequest(R"({"prompt": "mats", "max_tokens": 64, "stream": true})");
    const auto spec = std::get<RequestSpec>(makeSpec(admitted, "id", "250", s_now));
    EXPECT_TRUE(spec.stream);
    EXPECT_EQ(spec.expectedTokens, 64U);
    EXPECT_FALSE(spec.prefixKey.empty());
    EXPECT_EQ(spec.deadline, s_now + 250ms);
    for (const auto *wrong : { "0", "-1", "x", "1e3", "99999999999999999999" })
        EXPECT_EQ(makeSpec(admitted, "id", wrong, s_now).index(), 1U) << wrong;
}

TEST(RequestSpec, Gateway_Spec_TakesOverPlainRequestIdsOnly)
{
    auto request = connection::http::Request();
    request.headers = { { "X-Request-Id", "order-7" } };
    EXPECT_EQ(requestIdFor(request), "order-7");
    request.headers = { { "X-Request-Id", "a\r\nb" } };
    EXPECT_EQ(requestIdFor(request).size(), 32U);
}
