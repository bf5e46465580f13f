#include <gtest/gtest.h>

#include <boost/asio.hpp>

#include "app/node/partitions.h"
#include "app/node/resultwriter.h"
#include "process/clock/clock.h"
#include "version/batch/batchcodec.h"

using namespace nutmegplank;
using namespace nutmegplank::version::journal;
using app::node::ResultWriter;
namespace asio = boost::asio;
namespace batch = version::batch;

namespace {

constexpr auto FENCE = std::uint64_t(5);
constexpr auto POISON = std::string_view("poison");
constexpr auto TEST_TIME = std::chrono::seconds(5);

//! Rejects appends that hold POISON, and records that are too large.
class RejectingJournal : public IJournal
{
public:
    auto append(Partition partition, std::vector<std::string> records, AppendCondition condition,
                base::Duration) -> asio::awaitable<AppendResult> override
    {
        auto result = AppendResult();
        for (const auto &record : records) {
            if (record.size() > limits().recordBytes || isPoisoned(partition, record)) {
                result.outcome = AppendOutcome::Rejected;
                ++rejections;
                co_return result;
            }
        }
        auto &stored = topics[partition.topic];
        result.outcome = AppendOutcome::Done;
        result.offset = stored.size();
        if (condition.producer.has_value() && !records.empty())
            sequences.push_back(condition.producer->sequence);
        stored.insert(stored.end(), records.begin(), records.end());
        result.end = stored.size();
        co_return result;
    }
    auto read(Partition, std::uint64_t, ReadTimes) -> asio::awaitable<absl::StatusOr<Page>> override
    {
        co_return Page();
    }
    auto newest(std::string) -> asio::awaitable<absl::StatusOr<KeyedPage>> override
    {
        co_return KeyedPage();
    }
    auto limits() const -> AppendLimits override { return {}; }

    std::string rejectedTopic; //!< Only there POISON is rejected, unless it is empty.
    std::map<std::string, std::vector<std::string>> topics;
    std::vector<std::uint64_t> sequences;
    int rejections = 0;

private:
    auto isPoisoned(const Partition &partition, const std::string &record) const -> bool
    {
        return record.find(POISON) != std::string::npos
            && (rejectedTopic.empty() || rejectedTopic == partition.topic);
    }
};

class ResultWriterTest : public testing::Test
{
protected:
    //! Writes what was added, or gives up after TEST_TIME.
    auto write(std::function<void()> add) -> void
    {
        asio::co_spawn(
            m_context,
            [&]() -> asio::awaitable<void> {
                co_await m_writer.begin(FENCE);
                add();
                co_await m_writer.drain(process::clock::now() + TEST_TIME);
                m_context.stop();
            },
            asio::detached);
        m_context.run();
        m_context.restart();
    }

    //! Ids of all results that the log holds.
    auto storedItems(const std::string &batchId) const -> std::set<std::string>
    {
        auto items = std::set<std::string>();
        for (const auto &[topic, records] : m_journal.topics) {
            for (const auto &record : records) {
                for (const auto &result :
                     batch::decodeResults(record, batchId).value_or(std::vector<batch::Result>()))
                    items.insert(result.itemId);
            }
        }
        return items;
    }

    auto indexRecords() const -> std::size_t
    {
        const auto found =
            m_journal.topics.find(app::node::partitionFor(app::node::PartitionUse::Index).topic);
        return found == m_journal.topics.end() ? 0 : found->second.size();
    }

    asio::io_context m_context { 1 };
    process::metrics::Registry m_metrics;
    RejectingJournal m_journal;
    batch::BulkPartitions m_bulk;
    std::vector<std::pair<std::string, std::uint32_t>> m_rejected;
    ResultWriter m_writer { m_context,
                            m_journal,
                            m_bulk,
                            m_metrics,
                            { [] {},
                              [this](const std::string &batchId, std::uint32_t item) {
                                  m_rejected.emplace_back(batchId, item);
                              } } };
};

} // namespace

//! A record that the log rejected used to be sent again for ever, and all others waited behind it.
TEST_F(ResultWriterTest, ResultWriter_RejectedText_EndsOnlyItsOwnItem)
{
    write([&] {
        m_writer.add("a", { 0, "a0", false, "text", { 1 } });
        m_writer.add("a", { 1, "a1", false, std::string(POISON), { 1 } });
        m_writer.add("a", { 2, "a2", false, "text", { 1 } });
        m_writer.add("b", { 0, "b0", false, "text", { 1 } });
    });
    EXPECT_EQ(storedItems("a"), (std::set<std::string> { "a0", "a2" }));
    EXPECT_EQ(storedItems("b"), (std::set<std::string> { "b0" }));
    EXPECT_EQ(m_rejected, (std::vector<std::pair<std::string, std::uint32_t>> { { "a", 1 } }));
    EXPECT_EQ(m_writer.waitingBytes(), 0U);
    for (auto index = std::size_t(0); index < m_journal.sequences.size(); ++index)
        EXPECT_EQ(m_journal.sequences[index], index + 1);
}

TEST_F(ResultWriterTest, ResultWriter_TextLargerThanARecord_IsGivenUpUnsent)
{
    write([&] {
        m_writer.add("a", { 0, "a0", false, std::string(300'000, 'x'), { 1 } });
        m_writer.add("b", { 0, "b0", false, "text", { 1 } });
    });
    EXPECT_EQ(m_journal.rejections, 0);
    EXPECT_EQ(storedItems("b"), (std::set<std::string> { "b0" }));
    EXPECT_EQ(m_rejected, (std::vector<std::pair<std::string, std::uint32_t>> { { "a", 0 } }));
}

TEST_F(ResultWriterTest, ResultWriter_RejectedIndexRecord_HoldsUpNoOther)
{
    m_journal.rejectedTopic = app::node::partitionFor(app::node::PartitionUse::Index).topic;
    write([&] {
        m_writer.add("a", { 0, "a0", false, "text", { 1 } });
        m_writer.add("b", { 0, "b0", false, "text", { 1 } });
        m_writer.add("poison", { 3, "c3", false, "text", { 1 } });
    });
    EXPECT_EQ(indexRecords(), 2U);
    EXPECT_EQ(m_rejected, (std::vector<std::pair<std::string, std::uint32_t>> { { "poison", 3 } }));
}

TEST_F(ResultWriterTest, ResultWriter_RejectedProgress_IsDroppedAndHoldsUpNoResult)
{
    write([&] {
        m_writer.addProgress("a", { { 0, 9, 9, std::string(300'000, 'x'), { 1 }, "1.0", false } });
        m_writer.addProgress("b", { { 0, 2, 2, "text", { 1 }, "1.0", false } });
    });
    EXPECT_EQ(indexRecords(), 1U);
    EXPECT_TRUE(m_rejected.empty());
}
