#include "request/rollout/textpressure.h"

#include <algorithm>

namespace nutmegplank::request::rollout {

namespace {

//! Part of a process's memory. A text that grows may take twice its length, and is copied when it
//! is stored.
constexpr auto MEMORY_PART = std::uint64_t(8);
constexpr auto DEFAULT_BYTES = std::size_t(32 * 1024 * 1024);

} // namespace

auto textBudgetOf(std::uint64_t memoryBytes) -> std::size_t
{
    return memoryBytes == 0 ? DEFAULT_BYTES : static_cast<std::size_t>(memoryBytes / MEMORY_PART);
}

auto chooseTextsToDiscard(std::vector<HeldText> texts, std::size_t budget)
    -> std::vector<std::size_t>
{
    auto total = std::size_t(0);
    for (const auto &text : texts)
        total += text.bytes;
    auto discarded = std::vector<std::size_t>();
    if (total <= budget)
        return discarded;
    std::erase_if(texts, [](const HeldText &text) { return text.complete || text.bytes == 0; });
    std::ranges::stable_sort(texts, std::ranges::greater(), &HeldText::bytes);
    for (const auto &text : texts) {
        if (total <= budget)
            break;
        total -= text.bytes;
        discarded.push_back(text.handle);
    }
    return discarded;
}

auto mayStartRuns(std::size_t unwrittenBytes, std::size_t budget) -> bool
{
    return unwrittenBytes <= budget / 2;
}

} // namespace nutmegplank::request::rollout
