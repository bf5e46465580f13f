#include <gtest/gtest.h>

#include "request/rollout/openbatch.h"

using namespace nutmegplank;
using namespace nutmegplank::request::rollout;

namespace {

auto makeBatch(std::size_t items) -> OpenBatch
{
    auto batch = OpenBatch();
    for (auto index = std::size_t(0); index < items; ++index)
        batch.items.emplace_back().transcript =
            std::make_shared<Transcript>(TranscriptRules { 1, false });
    return batch;
}

auto makeProgress(std::uint32_t item, const std::string &text) -> version::batch::Progress
{
    auto progress = version::batch::Progress();
    progress.item = item;
    progress.lastEvent = progress.events = 2;
    progress.text = text;
    progress.versions = { 4 };
    progress.software = "1.0";
    return progress;
}

} // namespace

//! A lease holder that took over would have listed the text that nobody can read.
TEST(OpenBatch, OpenBatch_StoredTextThatIsNotUtf8_IsNotResumed)
{
    auto batch = makeBatch(2);
    EXPECT_EQ(restoreProgress(batch, { makeProgress(0, "a\n\x80"), makeProgress(1, "a\nb") }), 1U);
    EXPECT_TRUE(batch.items[0].transcript->empty());
    EXPECT_EQ(batch.items[1].transcript->text(), "a\nb");
}
