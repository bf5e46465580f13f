#include <cstdio>
#include <filesystem>
#include <fstream>

#include <gtest/gtest.h>

#include "platform/nodefile.h"

using namespace nutmegplank;
using namespace nutmegplank::platform;
using namespace std::chrono_literals;

namespace {

//! A temporary settings file, removed when the object is destroyed.
class NodeFile
{
public:
    explicit NodeFile(const std::string &text)
        : path(std::filesystem::temp_directory_path()
               / ("nodefile-" + std::to_string(getpid()) + ".json"))
    {
        std::ofstream(path) << text;
    }
    ~NodeFile() { std::filesystem::remove(path); }

    std::filesystem::path path;
};

constexpr auto VALID_SETTINGS =
    R"({"node_name":"n","ip":"10.0.0.1","zone":"a","region":"r","new field":[1],
  "listen":{"front":"10.0.0.1:1","readiness":"10.0.0.1:2","directory":"10.0.0.1:3","control":"x"},
  "limits":{"cpu_share":0.12,"memory_mb":88,"max_fds":3075},
  "bounds":{"usage_window_s":5,"grace_s":8.0,"settle_ms":1000,"strict_revoke":false},
  "platform":{"address":"10.9.9.9:1","form":"log","parts":24,"record_bytes":262144},
  "cloud":{"address":"10.9.9.8:1"}})";

} // namespace

TEST(NodeFile, NodeFile_UnknownFields_AreIgnored)
{
    const auto file = NodeFile(VALID_SETTINGS);
    const auto settings = readNodeFile(file.path);
    ASSERT_TRUE(settings.ok()) << settings.status();
    EXPECT_EQ(settings->node, "n");
    EXPECT_EQ(settings->cpuShare, 0.12);
    EXPECT_EQ(settings->memoryBytes, 88'000'000U);
    EXPECT_EQ(settings->descriptors, 3075U);
    EXPECT_EQ(settings->appendLimits.partitions, 24U);
    EXPECT_EQ(settings->usageWindow, 5s);
}

TEST(NodeFile, NodeFile_InvalidField_IsNamedInError)
{
    const auto file = NodeFile(R"({"node_name":"n","ip":"10.0.0.1","zone":"a","region":"r",
      "listen":{"front":"nowhere","readiness":"10.0.0.1:2","directory":"10.0.0.1:3"},
      "platform":{"address":"10.9.9.9:1"},"bounds":{}})");
    const auto settings = readNodeFile(file.path);
    ASSERT_FALSE(settings.ok());
    EXPECT_NE(settings.status().message().find("front"), absl::string_view::npos);
    EXPECT_NE(settings.status().message().find("IP number:port"), absl::string_view::npos);
}

//! Where the setting is missing, peers count as checking fences; where it is no truth value, the
//! start ends with its name.
TEST(NodeFile, NodeFile_Fencing_IsReadAndChecked)
{
    auto text = std::string(VALID_SETTINGS);
    EXPECT_TRUE(readNodeFile(NodeFile(text).path)->peersCheckFences);
    const auto at = text.find("\"strict_revoke\"");
    text.insert(at, R"("enforce_fencing":false,"lease_ms":2500,)");
    {
        const auto file = NodeFile(text);
        const auto settings = readNodeFile(file.path);
        ASSERT_TRUE(settings.ok()) << settings.status();
        EXPECT_FALSE(settings->peersCheckFences);
        EXPECT_EQ(settings->holderTurn, 2500ms);
    }
    text.replace(text.find("false"), 5, "\"no\"");
    const auto file = NodeFile(text);
    const auto settings = readNodeFile(file.path);
    ASSERT_FALSE(settings.ok());
    EXPECT_NE(settings.status().message().find("enforce_fencing"), absl::string_view::npos);
}

TEST(NodeFile, NodeFile_MissingFile_ReturnsError)
{
    EXPECT_FALSE(readNodeFile("/nowhere/node.json").ok());
}
