#include "base/hash.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace nutmegplank::base;

TEST(Hash, Hash_Sha256_MatchesPublishedVector)
{
    EXPECT_EQ(sha256Hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST(Hash, Hash_Sha256OfParts_IsThatOfTheJoinedText)
{
    EXPECT_EQ(sha256Hex({ "a", "", "bc" }), sha256Hex("abc"));
}

TEST(Hash, Hash_EqualConstantTime_ComparesContent)
{
    EXPECT_TRUE(equalConstantTime("key", "key"));
    EXPECT_FALSE(equalConstantTime("key", "kez"));
    EXPECT_FALSE(equalConstantTime("key", "keyy"));
}

TEST(Hash, Hash_RendezvousOwner_MovesOnlyKeysOfTheMemberThatLeft)
{
    const auto held = rc::check([](std::uint32_t key, std::uint8_t leaver) {
        auto members = std::vector<std::string> { "a", "b", "c", "d", "e" };
        const auto left = members[leaver % members.size()];
        const auto before = rendezvousOwner(std::to_string(key), members);
        std::erase(members, left);
        const auto after = rendezvousOwner(std::to_string(key), members);
        RC_ASSERT(before == left || before == after);
        RC_ASSERT(after == rendezvousRanking(std::to_string(key), members).front());
    });
    EXPECT_TRUE(held);
}
