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
          "state":"draining","cold_remaining_ms":1500,"spot":true,"leaves_ms":2300,"models":[{"name":"m","version":3}],
          "sequence":9,"born":1700000000123})",
                           5 });
    ASSERT_TRUE(record.ok()) << record.status();
    EXPECT_EQ(record->id, "i-1");
    EXPECT_EQ(record->state, process::servers::ServerState::Draining);
    EXPECT_EQ(record->coldFor, 1500ms);
    EXPECT_TRUE(record->reclaimable);
    EXPECT_EQ(record->leavesIn, 2300ms);
    EXPECT_EQ(record->incarnation, 1700000000123);
    EXPECT_EQ(record->modelVersion.at("m"), 3U);
}

//! Entries that ended the machines of another operator.
TEST(ServerRecords, ServerRecords_EntryOfAnotherWriter_ReturnsError)
{
    const auto withField = [](const std::string &field,
                              const std::string &address = "10.1.2.3:80") {
        return R"({"service":"s","address":")" + address + R"(","zone":"a","state":"ready",)"
            + field + "}";
    };
    constexpr auto DEPTH = std::size_t(100'000);
    const auto nested = std::string(DEPTH, '[') + std::string(DEPTH, ']');
    ASSERT_TRUE(readServerRecord({ "i-1", withField(R"("slots":16)"), 5 }).ok());
    for (const auto &value :
         { nested, withField(R"("slots":16,"models":)" + nested), withField(R"("slots":1e999)"),
           withField(R"("slots":4294967304)"), withField("\"slots\":1" + std::string(400, '0')),
           withField(R"("slots":16)", "10.1.2.3:99999"), withField(R"("slots":16)", "10.1.2.3:0"),
           withField(R"("slots":16)", "10.1.2.3:18446744073709551617") })
        EXPECT_FALSE(readServerRecord({ "i-1", value, 5 }).ok()) << value.substr(0, 100);
    // The id would become a header of the requests to the server.
    for (const auto *id : { "", "i 1", "i-1\r\nX-Tenant: other", "i-\xff" })
        EXPECT_FALSE(readServerRecord({ id, withField(R"("slots":16)"), 5 }).ok()) << id;
}

TEST(ServerRecords, ServerRecords_NumbersOutOfRange_HaveNoEffect)
{
    for (const auto *number : { "1e999", "18446744073709551615", "-1", "1e30" }) {
        const auto value = std::string(R"({"service":"s","address":"10.1.2.3:80","zone":"a",
          "slots":16,"state":"ready","cold_remaining_ms":)")
            + number + R"(,"models":[{"name":"m","version":3}],"born":)" + number + "}";
        const auto record = readServerRecord({ "i-1", value, 5 });
        if (!record.ok())
            continue;
        EXPECT_LE(record->coldFor, 1h) << number;
        EXPECT_GE(record->coldFor, 0ms) << number;
    }
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
