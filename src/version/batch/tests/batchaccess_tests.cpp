#include <gtest/gtest.h>

#include "version/batch/batchaccess.h"
#include "version/batch/batchcodec.h"

using namespace nutmegplank;
using namespace nutmegplank::version::batch;
namespace routing = nutmegplank::version::routing;
using routing::Owner;
using routing::OwnerKind;
using routing::workspaceOwner;

namespace {

const auto AMEND = workspaceOwner("amend");
const auto CAFE = workspaceOwner("cafe");
const auto ANONYMOUS = Owner { OwnerKind::Anonymous };
const auto SHARED = Owner { OwnerKind::Shared };

class BatchAccess : public testing::Test
{
protected:
    auto accept(const Owner &owner, const std::string &id = "b") -> void
    {
        auto submission = Submission();
        submission.head.id = id;
        submission.head.owner = owner;
        submission.items.resize(1);
        m_log.apply({ m_offset++, encodeAccepted(submission, BulkPlace { 1, 0 }, "try") });
    }

    //! The owner of the batch that \a caller finds, or nullopt.
    auto found(const Owner &caller) const -> std::optional<Owner>
    {
        const auto access = findForCaller(m_log, caller, "b");
        if (access.batch == nullptr)
            return std::nullopt;
        return access.batch->head.owner;
    }

    BatchLog m_log;

private:
    std::uint64_t m_offset = 0;
};

} // namespace

TEST_F(BatchAccess, BatchAccess_BatchOfAWorkspace_IsFoundByItAlone)
{
    accept(AMEND);
    EXPECT_EQ(found(AMEND), AMEND);
    EXPECT_EQ(found(CAFE), std::nullopt);
    EXPECT_EQ(found(ANONYMOUS), std::nullopt);
    EXPECT_FALSE(isAccepted(m_log, CAFE, "b"));
    EXPECT_FALSE(isAccepted(m_log, ANONYMOUS, "b"));
    EXPECT_TRUE(isAccepted(m_log, AMEND, "b"));
}

//! Without workspaces nobody could show that a batch is its own.
TEST_F(BatchAccess, BatchAccess_ConfigurationWithoutWorkspaces_EveryBatchIsFound)
{
    accept(AMEND);
    EXPECT_EQ(found(SHARED), AMEND);
    EXPECT_TRUE(isAccepted(m_log, SHARED, "b"));
    accept(CAFE);
    EXPECT_EQ(findForCaller(m_log, SHARED, "b").outcome, AccessOutcome::Ambiguous);
    EXPECT_TRUE(isAccepted(m_log, SHARED, "b"));
    EXPECT_FALSE(isAccepted(m_log, SHARED, "other"));
}

TEST_F(BatchAccess, BatchAccess_BatchOfNobody_IsFoundByAllWhoHaveNoneOfThatId)
{
    for (const auto &owner : { ANONYMOUS, SHARED }) {
        m_log = BatchLog();
        accept(owner);
        for (const auto &caller : { AMEND, ANONYMOUS, SHARED })
            EXPECT_EQ(found(caller), owner);
        accept(AMEND);
        EXPECT_EQ(found(AMEND), AMEND);
        EXPECT_EQ(found(CAFE), owner);
        EXPECT_EQ(found(ANONYMOUS), owner);
    }
}

//! The caller's own batch may be in the log and not be read yet.
TEST_F(BatchAccess, BatchAccess_BatchOfNobody_MayYieldToTheCallersOwn)
{
    accept(ANONYMOUS);
    EXPECT_TRUE(mayBeSuperseded(findForCaller(m_log, AMEND, "b"), AMEND));
    EXPECT_FALSE(mayBeSuperseded(findForCaller(m_log, ANONYMOUS, "b"), ANONYMOUS));
    accept(AMEND);
    EXPECT_FALSE(mayBeSuperseded(findForCaller(m_log, AMEND, "b"), AMEND));
    EXPECT_FALSE(mayBeSuperseded(findForCaller(m_log, AMEND, "none"), AMEND));
}

//! Only what was accepted before there were workspaces can be the same caller's.
TEST_F(BatchAccess, BatchAccess_SubmissionWithAKey_MayRepeatOneFromBeforeTheWorkspaces)
{
    accept(SHARED);
    EXPECT_FALSE(isAccepted(m_log, AMEND, "b"));
    ASSERT_NE(findAcceptedUnowned(m_log, AMEND, "b"), nullptr);
    EXPECT_EQ(findAcceptedUnowned(m_log, ANONYMOUS, "b"), nullptr);
    m_log = BatchLog();
    accept(ANONYMOUS);
    EXPECT_EQ(findAcceptedUnowned(m_log, AMEND, "b"), nullptr);
}

TEST(BatchKey, BatchKey_Parts_AreFoundAgain)
{
    for (const auto *workspace : { "", "amend", "two words", "a/b" }) {
        const auto key = makeBatchKey(workspace, "b/1");
        EXPECT_EQ(idOf(key), "b/1");
        EXPECT_EQ(workspaceOf(key), workspace);
    }
}
