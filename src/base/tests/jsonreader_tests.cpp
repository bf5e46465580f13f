#include "base/jsonreader.h"

#include <gtest/gtest.h>

using namespace nutmegplank::base;

namespace {

auto problemOf(std::string_view text) -> std::string
{
    auto reader = ObjectReader(*parseJson(text), "file.json");
    reader.integer("port", { 1, 65535 });
    reader.duration("lease", { Duration(1000), Duration(5'000'000) }, Duration(2000));
    return std::string(reader.finish().message());
}

} // namespace

TEST(JsonReader, JsonReader_Parse_AcceptsCommentsAndTrailingCommas)
{
    EXPECT_TRUE(parseJson("{ // note\n \"a\": [1, 2,], /* b */ }").ok());
}

TEST(JsonReader, JsonReader_Parse_NamesLineOfError)
{
    EXPECT_NE(parseJson("{\n \"a\": }").status().message().find("line 2"), std::string_view::npos);
}

TEST(JsonReader, JsonReader_Finish_NamesFieldAndWhatIsAllowed)
{
    EXPECT_EQ(problemOf(R"({"port": 80})"), "");
    EXPECT_EQ(problemOf("{}"), "file.json: field \"port\" is missing");
    EXPECT_EQ(problemOf(R"({"port": 0})"),
              "file.json: field \"port\" must be a whole number from 1 to 65535");
    EXPECT_EQ(problemOf(R"({"port": 80, "lease": "9s"})"),
              "file.json: field \"lease\" must be from 1ms to 5000ms");
    EXPECT_NE(problemOf(R"({"port": 80, "lease": "9 parsecs"})").find("no duration"),
              std::string::npos);
    EXPECT_EQ(problemOf(R"({"port": 80, "prot": 1})"),
              "file.json: field \"prot\" is unknown; allowed: lease, port");
}
