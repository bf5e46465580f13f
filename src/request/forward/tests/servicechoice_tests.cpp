#include <gtest/gtest.h>

#include "base/text.h"
#include "request/forward/servicechoice.h"

using namespace nutmegplank;
using namespace nutmegplank::request::forward;

//! Take-ups have ids of their own: on routes with several services half of them went to a service
//! that had not begun their streams.
TEST(ServiceChoice, ServiceChoice_TakeUp_GoesToTheServiceThatBeganTheStream)
{
    auto route = version::routing::Route();
    route.services = { { "one", 1.0 }, { "two", 1.0 } };
    auto counts = std::map<std::string, int>();
    for (auto number = 0; number < 200; ++number) {
        const auto first = base::concat("first-", number);
        const auto &service = chooseService(route, first, "");
        ++counts[service];
        EXPECT_EQ(chooseService(route, base::concat("again-", number), first), service);
    }
    EXPECT_GT(counts["one"], 60);
    EXPECT_GT(counts["two"], 60);
}
