#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/text.h"
#include "version/batch/batchcodec.h"
#include "version/batch/batchlog.h"

using namespace nutmegplank;
using namespace nutmegplank::version::batch;
namespace routing = nutmegplank::version::routing;

namespace {

constexpr auto WORKSPACE = "amend";

auto keyOf(const std::string &id) -> std::string
{
    return makeBatchKey(WORKSPACE, id);
}

auto makeSubmission(const std::string &id, std::size_t items) -> Submission
{
    auto submission = Submission();
    submission.head.id = id;
    submission.head.owner = routing::workspaceOwner(WORKSPACE);
    submission.items.resize(items);
    return submission;
}

auto makeResults(const std::vector<std::uint32_t> &items) -> std::vector<Result>
{
    auto results = std::vector<Result>();
    for (const auto item : items)
        results.push_back({ item, base::concat("i", item), false, "text", { 1 } });
    return results;
}

//! Applies records at consecutive offsets, as a reader of the log does.
class LogReplayer
{
public:
    auto read(const std::string &data) -> void { log.apply({ m_offset++, data }); }
    BatchLog log;

private:
    std::uint64_t m_offset = 0;
};

} // namespace

TEST(BatchLog, BatchLog_SameBatchTwice_FirstWins)
{
    auto replayer = LogReplayer();
    replayer.read(encodeAccepted(makeSubmission("b", 3), BulkPlace { 1, 10 }, "one"));
    replayer.read(encodeAccepted(makeSubmission("b", 3), BulkPlace { 1, 99 }, "two"));
    ASSERT_NE(replayer.log.find(keyOf("b")), nullptr);
    EXPECT_EQ(replayer.log.find(keyOf("b"))->place, (BulkPlace { 1, 10 }));
    EXPECT_EQ(replayer.log.find(keyOf("b"))->attempt, "one");
}

//! Both were answered 202 when the second one was taken for a repeat of the first and lost.
TEST(BatchLog, BatchLog_SameIdOfTwoWorkspaces_AreTwoBatches)
{
    auto replayer = LogReplayer();
    auto other = makeSubmission("b", 2);
    other.head.owner = routing::workspaceOwner("cafe");
    auto nobodys = makeSubmission("b", 1);
    nobodys.head.owner = { routing::OwnerKind::Shared };
    replayer.read(encodeAccepted(makeSubmission("b", 3), BulkPlace { 1, 10 }, "one"));
    replayer.read(encodeAccepted(other, BulkPlace { 1, 20 }, "two"));
    replayer.read(encodeAccepted(nobodys, BulkPlace { 1, 30 }, "three"));
    replayer.read(encodeAccepted(makeSubmission("b!", 3), BulkPlace { 1, 40 }, "four"));
    replayer.read(encodeListed(other.head.key(), BulkPlace { 2, 5 }, makeResults({ 1 })));
    replayer.read(encodeListedProgress(other.head.key(), BulkPlace { 2, 6 }));
    replayer.read(encodeEnd(other.head.key()));
    const auto &first = *replayer.log.find(keyOf("b"));
    EXPECT_EQ(first.itemCount(), 3U);
    EXPECT_EQ(first.listedCount, 0U);
    EXPECT_TRUE(first.progress.empty());
    EXPECT_TRUE(first.open());
    const auto &second = *replayer.log.find(other.head.key());
    EXPECT_EQ(second.head.owner, other.head.owner);
    EXPECT_EQ(second.listedCount, 1U);
    EXPECT_TRUE(second.ended);
    EXPECT_EQ(replayer.log.find("b")->head.owner, nobodys.head.owner);
    EXPECT_EQ(replayer.log.findById("b").size(), 3U);
}

//! Records of a former version of this program name no workspace beside a batch's id.
TEST(BatchLog, BatchLog_RecordsWithoutWorkspace_MeanTheOnlyBatchOfTheId)
{
    auto replayer = LogReplayer();
    replayer.read(encodeAccepted(makeSubmission("b", 3), BulkPlace { 1, 10 }, "one"));
    replayer.read(encodeListed("b", BulkPlace { 2, 5 }, makeResults({ 1 })));
    replayer.read(encodeEnd("b"));
    EXPECT_EQ(replayer.log.find(keyOf("b"))->listedCount, 1U);
    EXPECT_TRUE(replayer.log.find(keyOf("b"))->ended);
}

TEST(BatchLog, BatchLog_ItemFinishedTwice_IsListedOnceAtItsFirstPosition)
{
    auto replayer = LogReplayer();
    replayer.read(encodeAccepted(makeSubmission("b", 3), BulkPlace { 1, 0 }, "one"));
    replayer.read(encodeListed(keyOf("b"), BulkPlace { 2, 5 }, makeResults({ 2, 0 })));
    replayer.read(encodeListed(keyOf("b"), BulkPlace { 2, 9 }, makeResults({ 0, 1 })));
    const auto &batch = *replayer.log.find(keyOf("b"));
    EXPECT_EQ(batch.listedCount, 3U);
    ASSERT_EQ(batch.groups.size(), 2U);
    EXPECT_EQ(batch.groups[1].firstPosition, 2U);
    EXPECT_EQ(batch.groups[1].kept, std::vector<std::uint32_t> { 1 });
    EXPECT_FALSE(batch.open());
}

TEST(BatchLog, BatchLog_EndBeforeBatch_BatchIsNotRun)
{
    auto replayer = LogReplayer();
    replayer.read(encodeEnd(keyOf("b")));
    replayer.read(encodeAccepted(makeSubmission("b", 3), BulkPlace { 1, 0 }, "one"));
    EXPECT_FALSE(replayer.log.find(keyOf("b"))->open());
}

TEST(BatchLog, BatchLog_MalformedRecord_ChangesNothing)
{
    auto replayer = LogReplayer();
    replayer.read(encodeAccepted(makeSubmission("b", 1), BulkPlace { 1, 0 }, "one"));
    replayer.read("\xff\xff\xff");
    EXPECT_TRUE(replayer.log.find(keyOf("b"))->open());
}

TEST(BatchLog, BatchLog_OpenBatch_IsNeverRemoved)
{
    auto replayer = LogReplayer();
    replayer.read(encodeAccepted(makeSubmission("open", 1), BulkPlace { 1, 0 }, "one"));
    replayer.read(encodeAccepted(makeSubmission("ended", 1), BulkPlace { 1, 0 }, "two"));
    replayer.read(encodeEnd(keyOf("ended")));
    replayer.log.forget(1);
    EXPECT_NE(replayer.log.find(keyOf("open")), nullptr);
    EXPECT_EQ(replayer.log.find(keyOf("ended")), nullptr);
}

RC_GTEST_PROP(BatchLog, BatchLog_AnyRecords_PositionsOnlyGrowAndEachItemIsListedOnce, ())
{
    constexpr auto ITEMS = 6U;
    auto replayer = LogReplayer();
    replayer.read(encodeAccepted(makeSubmission("b", ITEMS), BulkPlace { 1, 0 }, "one"));
    const auto resultLists = *rc::gen::container<std::vector<std::vector<std::uint32_t>>>(
        rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange(0U, ITEMS + 2)));
    auto seen = std::set<std::uint32_t>();
    auto offset = std::uint64_t(0);
    for (const auto &items : resultLists) {
        const auto before = replayer.log.find(keyOf("b"))->listedCount;
        replayer.read(encodeListed(keyOf("b"), BulkPlace { 2, ++offset }, makeResults(items)));
        for (const auto item : items) {
            if (item < ITEMS)
                seen.insert(item);
        }
        RC_ASSERT(replayer.log.find(keyOf("b"))->listedCount >= before);
        RC_ASSERT(replayer.log.find(keyOf("b"))->listedCount == seen.size());
    }
}
