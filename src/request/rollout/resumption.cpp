#include "request/rollout/resumption.h"

#include <algorithm>

namespace nutmegplank::request::rollout {

namespace {

//! An item waits for an engine of its software version at most this long while others could run it.
constexpr auto MAX_WAIT = base::Duration(std::chrono::milliseconds(1500));

} // namespace

auto reasonToBeginAgain(const WaitingItem &item, const std::vector<EngineLoad> &engines,
                        base::Duration waited) -> std::string_view
{
    if (!item.hasText)
        return {};
    if (item.software.empty())
        return "it is not known which software version began the text";
    const auto isLeft = std::ranges::any_of(
        engines, [&](const auto &engine) { return engine.software == item.software; });
    if (!isLeft)
        return "no server of the software version that began the text is left";
    if (waited < MAX_WAIT)
        return {};
    auto fromBeginning = item;
    fromBeginning.hasText = false;
    const auto others = std::ranges::any_of(
        engines, [&](const auto &engine) { return canRunAt(fromBeginning, engine); });
    return others ? "only servers of another software version could run the item" : "";
}

} // namespace nutmegplank::request::rollout
