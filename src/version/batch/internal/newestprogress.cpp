#include "version/batch/newestprogress.h"

namespace nutmegplank::version::batch {

auto NewestProgress::add(std::vector<Progress> stored) -> void
{
    for (auto &progress : stored) {
        const auto item = progress.item;
        if (progress.events == 0) {
            m_items.erase(item);
            continue;
        }
        auto &newest = m_items[item];
        const auto completes = progress.complete && !newest.complete;
        if (progress.events > newest.events || completes)
            newest = std::move(progress);
    }
}

auto NewestProgress::take() -> std::vector<Progress>
{
    auto items = std::vector<Progress>();
    for (auto &[item, progress] : m_items)
        items.push_back(std::move(progress));
    m_items.clear();
    return items;
}

} // namespace nutmegplank::version::batch
