#include <gtest/gtest.h>

#include "platform/serverrecords.h"

using namespace nutmegplank;
using namespace nutmegplank::platform;
using namespace std::chrono_literals;

TEST(ServerRecords, ServerRecords_SoftwareVersion_IsReadWhateverItsType)
{
    const auto softwareIn = [](const std::string &field) {
        const auto record = std::string(
            R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":1,"state":"ready")");
        return readServerRecord({ "i-1", record + field + "}", 1 })->software;
    };
    EXPECT_EQ(softwareIn(R"(,"version":"v1.1")"), "v1.1");
    EXPECT_EQ(softwareIn(R"(,"version":7)"), "7");
    EXPECT_EQ(softwareIn(R"(,"version":null)"), "");
    EXPECT_EQ(softwareIn(""), "");
}

TEST(ServerRecords, ServerRecords_Registration_IsDecoded)
{
    const auto record =
        readServerRecord({ "i-1",
                           R"({"service":"s","address":"10.1.2.3:80","zone":"a","slots":16,
          "state":"draining","cold_remaining_ms":1500,"models":[{"name":"m","version":3}],
          "sequence":9,"born":1700000000123})",
                           5 });
    ASSERT_TRUE(record.ok()) << record.status();
    EXPECT_EQ(record->id, "i-1");
    EXPECT_EQ(record->state, process::servers::ServerState::Draining);
    EXPECT_EQ(record->coldFor, 1500ms);
    EXPECT_EQ(record->incarnation, 1700000000123);
    EXPECT_EQ(record->modelVersion.at("m"), 3U);
}

TEST(ServerRecords, ServerRecords_MalformedRecord_ReturnsError)
{
    for (const auto *value :
         { "\x01\x02", "{}",
           R"({"service":"s","address":"somewhere","zone":"a","slots":1,"state":"ready"})",
           R"({"service":"s","address":"10.1.2.3:80","zone":"a","slots":1,"state":"dozing"})",
           R"({"service":3,"address":"10.1.2.3:80","zone":"a","slots":1,"state":"ready"})",
           R"({"service":"s","address":"10.1.2.3:80","zone":"a","slots":"many","state":"ready"})" })
        EXPECT_FALSE(readServerRecord({ "i-1", value, 5 }).ok()) << value;
}
