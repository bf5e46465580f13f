#include "version/configuration/check.h"

#include <gtest/gtest.h>

#include "version/configuration/declarations.h"

using namespace nutmegplank;
using namespace nutmegplank::version::configuration;

namespace {

auto findingsOf(const std::string &text) -> std::vector<std::string>
{
    const auto file = DeclarationFile { "file.json", text };
    const auto configuration = parseDeclarations({ &file, 1 });
    EXPECT_TRUE(configuration.ok()) << configuration.status().message();
    auto texts = std::vector<std::string>();
    for (const auto &finding : checkConfiguration(*configuration))
        texts.push_back(std::string(base::nameOf(base::FINDING_KIND_NAMES, finding.kind)) + ": "
                        + finding.place + ": " + finding.problem);
    return texts;
}

using Texts = std::vector<std::string>;

} // namespace

TEST(Check, Check_SoundDeclarations_FindsNothing)
{
    EXPECT_EQ(findingsOf(R"({
        "workspaces": [{"name": "w"}],
        "services": [{"name": "s", "shards": 2}],
        "routes": [{"name": "r", "path_prefix": "/x", "service": "s", "open": true, "workspace": "w"}],
        "zones": [{"name": "a", "out": true}, {"name": "b"}],
        "presets": [{"name": "p", "targets": [{"service": "s", "servers": 2}]}],
        "preset_in_force": "p"})"),
              Texts());
}

TEST(Check, Check_EntriesThatCanNeverMatch_AreNamed)
{
    const auto key = R"({"id": "k", "workspace": "w", "withdrawn": true, "sha256": ")"
        + std::string(64, 'a') + R"("})";
    EXPECT_EQ(
        findingsOf(R"({"workspaces": [{"name": "w"}], "keys": [)" + key + "]}"),
        Texts { "never_matches: workspace \"w\": no valid key and no open route belongs to it" });
    EXPECT_EQ(findingsOf(R"({"services": [{"name": "s"}]})"),
              Texts { "never_matches: service \"s\": no route leads to it" });
    EXPECT_EQ(findingsOf(R"({"services": [{"name": "s"}],
                             "routes": [{"name": "r", "path_prefix": "/x?y", "service": "s"}]})"),
              Texts { "never_matches: route \"r\": no path begins with \"/x?y\"" });
}

TEST(Check, Check_LimitsThatContradictEachOther_AreNamed)
{
    const auto withService = [](const std::string &service, const std::string &target) {
        return R"({"services": [{"name": "s")" + service + R"(}],
            "routes": [{"name": "r", "path_prefix": "/x", "service": "s"}],
            "presets": [{"name": "p", "targets": [{"service": "s")"
            + target + R"(}]}], "preset_in_force": "p"})";
    };
    EXPECT_EQ(findingsOf(withService(R"(,"cold_limit": 9)", R"(,"servers": 1)")),
              Texts { "contradiction: service \"s\": \"cold_limit\" 9 is above \"warm_limit\" 8" });
    EXPECT_EQ(findingsOf(withService("", R"(,"servers": 0)")),
              Texts { "contradiction: route \"r\": the preset in force, \"p\", asks for no backend "
                      "servers of its service \"s\"" });
    EXPECT_EQ(findingsOf(withService(R"(,"shards": 3)", R"(,"servers": 2)")),
              Texts { "contradiction: preset \"p\": asks for 2 backend servers of \"s\", which has "
                      "3 shards" });
    EXPECT_EQ(
        findingsOf(withService("", R"(,"servers": 17)")),
        Texts { "contradiction: preset \"p\": allows 17 backend servers of \"s\", over 16 for "
                "each of its 1 shards" });
    EXPECT_EQ(
        findingsOf(R"({"zones": [{"name": "a", "out": true}]})"),
        Texts { "contradiction: zone \"a\": all zones are out, so that no backend server gets "
                "work" });
}

TEST(Check, Check_SeveralErrors_AreAllNamedWithTheirPlace)
{
    const auto files = std::vector<DeclarationFile> {
        { "a.json", R"({"workspaces": [{"name": "w", "weight": 0}, {"name": "v", "wait": 1}]})" },
        { "b.json", "{\n,}" },
        { "c.json", R"({"routes": [{"name": "r", "path_prefix": "x", "service": "s"}]})" },
    };
    const auto problems = declarationProblems(files);
    ASSERT_EQ(problems.size(), 4U);
    EXPECT_EQ(problems[0].rfind("a.json: workspaces[0]: field \"weight\"", 0), 0U) << problems[0];
    EXPECT_EQ(problems[1].rfind("a.json: workspaces[1]", 0), 0U) << problems[1];
    EXPECT_EQ(problems[2].rfind("b.json: line 2", 0), 0U) << problems[2];
    EXPECT_EQ(problems[3].rfind("c.json: routes[0]: field \"path_prefix\"", 0), 0U) << problems[3];
}
