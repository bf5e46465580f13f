// One record that its reader cannot handle must not end the reading of the log: all later records
// would be missed, and the machine would go on with an old configuration and old members.
#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include "process/clock/clock.h"
#include "version/journal/follower.h"

using namespace nutmegplank;
using namespace nutmegplank::version::journal;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

const auto PARTITION = Partition { "t", 0 };
constexpr auto PAUSE = base::Duration(10s);

//! Answers each read at once with all records from the requested offset on.
class FakeJournal : public IJournal
{
public:
    auto append(Partition, std::vector<std::string>, AppendCondition, base::Duration)
        -> asio::awaitable<AppendResult> override
    {
        co_return AppendResult();
    }
    auto read(Partition, std::uint64_t from, ReadTimes)
        -> asio::awaitable<absl::StatusOr<Page>> override
    {
        auto page = Page();
        if (from < first) {
            page.first = first;
            page.compacted = true;
            co_return page;
        }
        for (auto offset = from; offset < records.size(); ++offset)
            page.records.push_back({ offset, records[offset] });
        page.end = records.size();
        co_return page;
    }
    auto newest(std::string) -> asio::awaitable<absl::StatusOr<KeyedPage>> override
    {
        auto page = KeyedPage();
        for (auto offset = std::uint64_t(0); offset < records.size(); ++offset)
            page.records.push_back({ "key" + records[offset], records[offset], offset });
        page.end = records.size();
        co_return page;
    }
    auto limits() const -> AppendLimits override { return {}; }

    std::vector<std::string> records;
    std::uint64_t first = 0; //!< Records before this offset are compacted away.
};

auto throwOnBad(const std::string &text) -> void
{
    if (text == "bad")
        throw std::runtime_error("malformed");
}

} // namespace

TEST(Follower, Follower_HookThrows_LaterRecordsAreRead)
{
    auto context = asio::io_context();
    auto journal = FakeJournal();
    journal.records = { "one", "bad", "three" };
    auto seen = std::vector<std::string>();
    auto follower = Follower(context, journal, { PARTITION, base::Duration(0), PAUSE },
                             { [&](const Record &record, base::TimePoint) {
                                  throwOnBad(record.data);
                                  seen.push_back(record.data);
                              },
                               {} });
    follower.start();
    context.run_for(20ms);
    EXPECT_EQ(seen, (std::vector<std::string> { "one", "three" }));
    EXPECT_TRUE(follower.caughtUp());
}

TEST(Follower, Follower_SnapshotHookThrows_OtherKeysAreRead)
{
    auto context = asio::io_context();
    auto journal = FakeJournal();
    journal.records = { "bad", "two" };
    auto seen = std::vector<std::string>();
    auto follower =
        KeyedFollower(context, journal, { PARTITION, base::Duration(0), PAUSE },
                      { [&](const KeyedRecord &record, base::TimePoint) {
                           throwOnBad(record.value);
                           seen.push_back(record.value);
                       },
                        [](const std::set<std::string> &, std::uint64_t, base::TimePoint) {} });
    follower.start();
    context.run_for(20ms);
    EXPECT_EQ(seen, std::vector<std::string> { "two" });
    EXPECT_TRUE(follower.complete());
}

//! After a gap the last heartbeats of machines that were gone for long counted as new ones.
TEST(Follower, Follower_SnapshotAfterAGap_IsToldFromNewRecords)
{
    auto context = asio::io_context();
    auto journal = FakeJournal();
    journal.records = { "one" };
    auto old = std::vector<bool>();
    auto snapshotEnds = std::vector<std::uint64_t>();
    const KeyedFollower *reader = nullptr;
    auto follower = KeyedFollower(
        context, journal, { PARTITION, base::Duration(0), PAUSE },
        { [&](const KeyedRecord &, base::TimePoint) { old.push_back(reader->isReadingSnapshot()); },
          [&](const std::set<std::string> &keys, std::uint64_t end, base::TimePoint) {
              EXPECT_EQ(keys.size(), end);
              snapshotEnds.push_back(end);
          } });
    reader = &follower;
    follower.start();
    context.run_for(20ms);
    journal.records.emplace_back("\x01k2");
    follower.readNow();
    context.run_for(20ms);
    journal.records.emplace_back("three");
    journal.first = 3;
    follower.readNow();
    context.run_for(20ms);
    EXPECT_EQ(old, (std::vector<bool> { true, false, true, true, true }));
    EXPECT_EQ(snapshotEnds, (std::vector<std::uint64_t> { 1, 3 }));
}

//! A closed usage window is read back right after it was written, not after the pause.
TEST(Follower, Follower_ReadNow_EndsThePause)
{
    auto context = asio::io_context();
    auto journal = FakeJournal();
    auto seen = 0;
    auto follower = Follower(context, journal, { PARTITION, base::Duration(0), PAUSE },
                             { [&](const Record &, base::TimePoint) { ++seen; }, {} });
    follower.start();
    context.run_for(20ms);
    journal.records = { "one" };
    follower.readNow();
    context.run_for(20ms);
    EXPECT_EQ(seen, 1);
}
