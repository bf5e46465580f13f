#include "request/rollout/textlimit.h"

#include "version/batch/recordsize.h"

namespace nutmegplank::request::rollout {

auto textLimitOf(const TextLimitInput &input) -> TextLimit
{
    auto limit = TextLimit();
    if (input.tokens > input.promptTokens)
        limit.events = input.tokens - input.promptTokens;
    limit.bytes =
        version::batch::largestText(input.recordBytes, input.batchId.size() + input.itemId.size());
    return limit;
}

} // namespace nutmegplank::request::rollout
