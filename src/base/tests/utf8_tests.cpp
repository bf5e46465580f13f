#include <boost/json.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/utf8.h"

using namespace nutmegplank;

namespace {

auto isJsonString(const std::string &text) -> bool
{
    auto error = boost::json::error_code();
    boost::json::parse(boost::json::serialize(boost::json::value(text)), error);
    return !error;
}

} // namespace

TEST(Utf8, Utf8_ValidSequences_AreAccepted)
{
    EXPECT_TRUE(base::isUtf8(""));
    EXPECT_TRUE(base::isUtf8("plain\ntext"));
    EXPECT_TRUE(base::isUtf8("\xC3\xB1 \xE2\x82\xAC \xF0\x9F\x98\x80"));
    EXPECT_TRUE(base::isUtf8("\xF4\x8F\xBF\xBF"));
}

TEST(Utf8, Utf8_InvalidSequences_AreRejected)
{
    for (const auto *text : { "\x80", "a\xFF", "\xC3", "\xC0\xAF", "\xE0\x80\xAF", "\xED\xA0\x80",
                              "\xF4\x90\x80\x80", "\xE2\x82", "\xF8\x88\x80\x80\x80" })
        EXPECT_FALSE(base::isUtf8(text)) << testing::PrintToString(text);
}

TEST(Utf8, Utf8_InvalidBytes_AreReplacedAndTheRestIsKept)
{
    EXPECT_EQ(base::replaceInvalidUtf8("a\x80z\xC3\xB1"), "a\xEF\xBF\xBDz\xC3\xB1");
    EXPECT_EQ(base::replaceInvalidUtf8("\xC3"), "\xEF\xBF\xBD");
    EXPECT_EQ(base::replaceInvalidUtf8("sound"), "sound");
}

//! Texts that pass the check, and all replaced ones, can be sent as JSON.
RC_GTEST_PROP(Utf8, Utf8_AnyBytes_AcceptedOnesAreJson, (const std::vector<std::uint8_t> &bytes))
{
    const auto text = std::string(bytes.begin(), bytes.end());
    RC_ASSERT(base::isUtf8(text) == isJsonString(text));
    const auto replaced = base::replaceInvalidUtf8(text);
    RC_ASSERT(base::isUtf8(replaced));
    RC_ASSERT(!base::isUtf8(text) || replaced == text);
}
