#include "version/configuration/declarations.h"

#include <gtest/gtest.h>

using namespace nutmegplank::version::configuration;

namespace {

const auto HASH = std::string(64, 'a');

auto errorOf(const std::string &text) -> std::string
{
    const auto file = DeclarationFile { "file.json", text };
    return std::string(parseDeclarations({ &file, 1 }).status().message());
}

} // namespace

TEST(Declarations, Declarations_Parse_MergesFilesAndFillsDefaults)
{
    const auto files = std::vector<DeclarationFile> {
        { "a.json", R"({"workspaces": [{"name": "w", "weight": 3}], /* note */ })" },
        { "b.json",
          "{\"keys\": [{\"id\": \"k\", \"workspace\": \"w\", \"sha256\": \"" + HASH + "\"}]}" },
        { "c.json", R"({"services": [{"name": "s", "kind": "engine", "warm_up": "2s"}],
                        "routes": [{"name": "r", "path_prefix": "/x", "service": "s"}],
                        "presets": [{"name": "p", "targets": [{"service": "s", "servers": 2}]}],
                        "preset_in_force": "p"})" },
    };
    const auto parsed = parseDeclarations(files);
    ASSERT_TRUE(parsed.ok()) << parsed.status().message();
    EXPECT_EQ(parsed->workspaces.at("w").weight, 3U);
    EXPECT_EQ(parsed->keysByHash.at(HASH).id, "k");
    EXPECT_EQ(parsed->services.at("s").warmUp, std::chrono::seconds(2));
    EXPECT_EQ(parsed->preset()->targets.front().mostServers, 2U);
}

TEST(Declarations, Declarations_Parse_ErrorNamesFileFieldAndAllowedValues)
{
    EXPECT_NE(errorOf("{\n\"zones\": [,]}").find("file.json: line 2"), std::string::npos);
    EXPECT_EQ(
        errorOf(R"({"workspaces": [{"name": "w", "weight": 0}]})"),
        "file.json: workspaces[0]: field \"weight\" must be a whole number from 1 to 1000000");
    EXPECT_EQ(errorOf(R"({"services": [{"name": "s", "kind": "other"}]})"),
              "file.json: services[0]: field \"kind\" must be one of engine, plain");
    EXPECT_NE(errorOf(R"({"keyz": []})").find("\"keyz\" is unknown; allowed: keys,"),
              std::string::npos);
    EXPECT_NE(errorOf(R"({"keys": [{"id": "k", "workspace": "w", "sha256": "secret"}]})")
                  .find("field \"sha256\" must be 64 lower-case hexadecimal digits"),
              std::string::npos);
    EXPECT_NE(
        errorOf(R"({"routes": [{"name": "r", "path_prefix": "/", "service": "s", "open": true}]})")
            .find("field \"workspace\""),
        std::string::npos);
}

TEST(Declarations, Declarations_Parse_ChecksReferences)
{
    EXPECT_EQ(errorOf("{\"keys\": [{\"id\": \"k\", \"workspace\": \"w\", \"sha256\": \"" + HASH
                      + "\"}]}"),
              "key \"k\": field \"workspace\" names \"w\", which is not declared");
    EXPECT_EQ(errorOf(R"({"routes": [{"name": "r", "path_prefix": "/", "service": "s"}]})"),
              "route \"r\": field \"service\" names \"s\", which is not declared");
    EXPECT_EQ(errorOf(R"({"presets": [{"name": "p", "targets": [{"service": "s"}]}]})"),
              "preset \"p\": field \"targets\" names \"s\", which is not declared");
    EXPECT_EQ(errorOf(R"({"preset_in_force": "p"})"),
              "preset_in_force: names \"p\", which is not declared");
    EXPECT_NE(errorOf(R"({"zones": [{"name": "z"}, {"name": "z"}]})").find("declared already"),
              std::string::npos);
}
