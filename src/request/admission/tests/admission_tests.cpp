#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/hash.h"
#include "request/admission/admission.h"
#include "request/admission/credentials.h"
#include "request/admission/routing.h"

using namespace nutmegplank;
using namespace nutmegplank::request::admission;
using connection::http::Request;
using request::execution::Refusal;
using version::configuration::Configuration;

namespace {

constexpr auto KEY = "a-long-secret-key-0123456789";
constexpr auto WITHDRAWN_KEY = "a-withdrawn-key-0123456789";

auto addKey(Configuration &configuration, const std::string &id, const std::string &key,
            bool withdrawn) -> void
{
    const auto entry =
        version::configuration::Key { id, "quotes", base::sha256Hex(key), withdrawn };
    configuration.keys[id] = entry;
    configuration.keysByHash[entry.sha256] = entry;
}

auto makeConfiguration() -> Configuration
{
    auto configuration = Configuration();
    configuration.workspaces["quotes"].name = "quotes";
    configuration.workspaces["walk-in"].name = "walk-in";
    addKey(configuration, "key-1", KEY, false);
    addKey(configuration, "key-2", WITHDRAWN_KEY, true);
    configuration.services["desk"].name = "desk";
    configuration.routes["all"] = { "all", "/orders", "desk" };
    configuration.routes["open"] = { "open", "/orders/open", "desk", true, "walk-in" };
    return configuration;
}

auto makeRequestWithKey(std::string target, std::string key) -> Request
{
    return { "POST", std::move(target), { { "X-Api-Key", std::move(key) } }, "{}", "" };
}

auto codeOf(const AdmissionResult &result) -> std::string
{
    const auto *refusal = std::get_if<Refusal>(&result);
    return refusal == nullptr ? "" : refusal->code;
}

auto joinParameters(const std::vector<std::string> &parameters) -> std::string
{
    auto text = std::string();
    for (auto index = std::size_t(0); index < parameters.size(); ++index)
        text += (index == 0 ? "" : "&") + parameters[index];
    return text;
}

auto targetAndHeaders(const Request &request) -> std::string
{
    auto text = request.target;
    for (const auto &header : request.headers)
        text += "\n" + header.name + ": " + header.value;
    return text;
}

} // namespace

TEST(Admission, Admission_Credentials_EachFormIsExtractedAndRemoved)
{
    const auto forms = std::vector<Request> {
        { "POST", "/a?x=1&y=2", { { "Authorization", std::string("bearer  ") + KEY } }, "", "" },
        { "POST", "/a?x=1&y=2", { { "x-api-KEY", KEY } }, "", "" },
        { "POST", std::string("/a?x=1&API_key=") + KEY + "&y=2", {}, "", "" },
        { "POST", std::string("/a?x=1&api%5Fkey=") + KEY + "&y=2#f", {}, "", "" },
        { "POST", std::string("/a?x=1&y=2;api_key=") + KEY, {}, "", "" },
        { "POST",
          "/a?x=1&y=2",
          { { "Cookie", std::string("s=1; api_key=\"") + KEY + "\"" } },
          "",
          "" },
    };
    for (auto form : forms) {
        const auto credentials = extractCredentials(form);
        ASSERT_EQ(credentials.keys.size(), 1U) << form.target;
        EXPECT_EQ(credentials.keys.front(), KEY);
        EXPECT_EQ(form.target, "/a?x=1&y=2");
        EXPECT_EQ(targetAndHeaders(form).find(KEY), std::string::npos);
    }
}

TEST(Admission, Admission_Credentials_RepeatedElsewhereAreRemovedOrRefused)
{
    auto request = makeRequestWithKey("/orders", KEY);
    request.headers.push_back({ "Referer", std::string("http://x/?api_key=") + KEY });
    request.headers.push_back({ "Proxy-Authorization", "Basic abc" });
    const auto result = admit(request, makeConfiguration(), true);
    EXPECT_TRUE(std::get<AdmittedRequest>(result).request.headers.empty());
    request.body = std::string("{\"key\": \"") + KEY + "\"}";
    EXPECT_EQ(codeOf(admit(request, makeConfiguration(), true)), "misplaced_key");
}

TEST(Admission, Admission_Admit_RefusesByKeyAndRoute)
{
    const auto configuration = makeConfiguration();
    const auto admitted =
        std::get<AdmittedRequest>(admit(makeRequestWithKey("/orders/1", KEY), configuration, true));
    EXPECT_EQ(admitted.workspace, "quotes");
    EXPECT_EQ(admitted.keyId, "key-1");
    EXPECT_EQ(codeOf(admit(makeRequestWithKey("/orders", ""), configuration, true)), "missing_key");
    EXPECT_EQ(codeOf(admit(makeRequestWithKey("/orders", "wrong"), configuration, true)),
              "unknown_key");
    EXPECT_EQ(codeOf(admit(makeRequestWithKey("/orders", WITHDRAWN_KEY), configuration, true)),
              "key_withdrawn");
    EXPECT_EQ(codeOf(admit(makeRequestWithKey("/ordersX", KEY), configuration, true)), "no_route");
    EXPECT_EQ(codeOf(admit(makeRequestWithKey("/orders?api_key=other", KEY), configuration, true)),
              "ambiguous_key");
}

TEST(Admission, Admission_Admit_OpenRouteNeedsNeitherKeyNorConfirmation)
{
    const auto configuration = makeConfiguration();
    const auto result = admit(makeRequestWithKey("/orders/open", ""), configuration, false);
    EXPECT_EQ(std::get<AdmittedRequest>(result).workspace, "walk-in");
    EXPECT_EQ(codeOf(admit(makeRequestWithKey("/orders", KEY), configuration, false)),
              "configuration_unconfirmed");
}

//! A key was ignored there: work of a workspace was counted as another one's, and withdrawn keys
//! went on working.
TEST(Admission, Admission_Admit_KeyCountsOnOpenRoutes)
{
    const auto configuration = makeConfiguration();
    const auto result = admit(makeRequestWithKey("/orders/open", KEY), configuration, true);
    ASSERT_TRUE(std::holds_alternative<AdmittedRequest>(result));
    EXPECT_EQ(std::get<AdmittedRequest>(result).workspace, "quotes");
    EXPECT_EQ(std::get<AdmittedRequest>(result).keyId, "key-1");
    const auto refusalOf = [&configuration](const std::string &key, bool isConfirmed) {
        return codeOf(admit(makeRequestWithKey("/orders/open", key), configuration, isConfirmed));
    };
    EXPECT_EQ(refusalOf("wrong", true), "unknown_key");
    EXPECT_EQ(refusalOf(WITHDRAWN_KEY, true), "key_withdrawn");
    EXPECT_EQ(refusalOf(KEY, false), "configuration_unconfirmed");
    EXPECT_EQ(refusalOf("", false), "");
}

TEST(Admission, Admission_Admit_AmbiguousPathsDoNotReachOpenRoutes)
{
    const auto configuration = makeConfiguration();
    for (const auto *path :
         { "/orders/open/../secret", "/orders/open/%2e%2e/secret", "/orders/open%2f..%2fsecret",
           "/orders//open", "/orders/open\\..", "/orders/open/..;a/secret", "orders/open", "" })
        EXPECT_EQ(codeOf(admit(makeRequestWithKey(path, ""), configuration, true)),
                  "malformed_request")
            << path;
}

TEST(Admission, Admission_Admit_RefuseRolloutsRefusesNewStepsOnly)
{
    auto configuration = makeConfiguration();
    configuration.presets["quiet"].refuseRollouts = true;
    configuration.presetInForce = "quiet";
    EXPECT_EQ(codeOf(admit(makeRequestWithKey("/v1/steps", KEY), configuration, true)),
              "rollouts_refused");
    const auto pull = admit(makeRequestWithKey("/v1/steps/s1/pull", KEY), configuration, true);
    EXPECT_EQ(std::get<AdmittedRequest>(pull).target, Target::Step);
}

//! Removing the key from a query must neither leave the key nor change or reorder other parameters.
RC_GTEST_PROP(Admission, Admission_Query_OnlyTheKeyIsRemoved, ())
{
    const auto parameter =
        rc::gen::container<std::string>(rc::gen::elementOf(std::string("ab%2=+é.")));
    const auto otherParameters = *rc::gen::container<std::vector<std::string>>(parameter);
    auto parameters = otherParameters;
    const auto position = *rc::gen::inRange<std::size_t>(0, otherParameters.size() + 1);
    parameters.insert(parameters.begin() + static_cast<std::ptrdiff_t>(position),
                      std::string("api_key=") + KEY);
    const auto queryWithKey = joinParameters(parameters);
    const auto queryWithoutKey = joinParameters(otherParameters);
    auto request = Request { "GET", "/p?" + queryWithKey, {}, "", "" };
    const auto credentials = extractCredentials(request);
    RC_ASSERT(credentials.keys == std::vector<std::string> { KEY });
    RC_ASSERT(request.target == (queryWithoutKey.empty() ? "/p" : "/p?" + queryWithoutKey));
}

//! Arbitrary bytes must not crash the parsers, and a key in any known form must be removed or be
//! reported by containsKey().
RC_GTEST_PROP(Admission, Admission_Parsers_AcceptArbitraryBytes,
              (const std::string &target, const std::string &cookie, const std::string &value))
{
    auto request = Request();
    request.target = "/" + target + "?" + value + "&api_key=" + KEY;
    request.headers = { { "Cookie", cookie + ";api_key=" + KEY },
                        { "Authorization", std::string("Bearer ") + KEY },
                        { "Connection", value },
                        { "X-Other", value + KEY } };
    const auto credentials = extractCredentials(request);
    removeConnectionHeaders(request.headers);
    RC_ASSERT(!credentials.keys.empty());
    const auto isKeyLeft = targetAndHeaders(request).find(KEY) != std::string::npos;
    RC_ASSERT(!isKeyLeft || containsKey(request, credentials));
    const auto configuration = makeConfiguration();
    const auto result = admit(request, configuration, true);
    RC_ASSERT(std::holds_alternative<Refusal>(result));
}
