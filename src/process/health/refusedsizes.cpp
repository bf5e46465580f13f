#include "process/health/refusedsizes.h"

#include <algorithm>

#include "process/logging/logging.h"

namespace nutmegplank::process::health {

namespace {

//! As for a full server, since the first refusal of a large request may also mean that.
constexpr auto FIRST_PAUSE = base::Duration(std::chrono::milliseconds(60));
//! The server's memory may have become free, or its sheet may be wrong: it is asked again.
constexpr auto LONGEST_PAUSE = base::Duration(std::chrono::seconds(2));

//! Sizes of which neither is the larger one in all measures. One more replaces the oldest.
constexpr auto MOST_BOUNDS = std::size_t(8);

//! The measures of \a size that are above all that the server has taken.
auto beyond(const RequestSize &size, const RequestSize &taken) -> RequestSize
{
    auto result = RequestSize();
    for (const auto measure : SIZE_MEASURES) {
        if (size.*measure > taken.*measure)
            result.*measure = size.*measure;
    }
    return result;
}

} // namespace

auto RefusedSizes::noteTaken(const std::string &server, const RequestSize &size) -> void
{
    auto &taken = m_taken[server];
    for (const auto measure : SIZE_MEASURES)
        taken.*measure = std::max(taken.*measure, size.*measure);
    const auto found = m_bounds.find(server);
    if (found == m_bounds.end())
        return;
    std::erase_if(found->second, [&](const Bound &bound) { return isAsLargeAs(size, bound.size); });
    if (found->second.empty())
        m_bounds.erase(found);
}

//! The bound that holds requests of the size \a larger back, from now on if there was none.
auto RefusedSizes::findBound(Bounds &bounds, const RequestSize &larger) -> Bound &
{
    const auto found = std::ranges::find_if(bounds, [&](const Bound &bound) {
        return isAsLargeAs(larger, bound.size) || isAsLargeAs(bound.size, larger);
    });
    if (found == bounds.end()) {
        if (bounds.size() == MOST_BOUNDS)
            bounds.erase(bounds.begin());
        return bounds.emplace_back(Bound { larger });
    }
    if (isAsLargeAs(found->size, larger))
        found->size = larger;
    return *found;
}

auto RefusedSizes::noteRefused(const std::string &server, const RequestSize &size,
                               base::TimePoint sentAt, base::TimePoint now) -> RefusalCause
{
    const auto taken = m_taken[server];
    const auto larger = beyond(size, taken);
    if (larger == RequestSize()) {
        // Whatever was refused before may have been refused for the same reason.
        m_bounds.erase(server);
        return RefusalCause::Full;
    }
    auto &bound = findBound(m_bounds[server], larger);
    // Requests that were under way together are refused together.
    if (sentAt < bound.until)
        return RefusalCause::TooLarge;
    bound.pause = std::clamp(bound.pause * 2, FIRST_PAUSE, LONGEST_PAUSE);
    bound.until = now + bound.pause;
    logging::info("server.refused_size",
                  { { "server", server },
                    { "context_tokens", size.contextTokens },
                    { "total_tokens", size.totalTokens },
                    { "body_bytes", size.bodyBytes },
                    { "taken_context_tokens", taken.contextTokens },
                    { "taken_total_tokens", taken.totalTokens },
                    { "taken_body_bytes", taken.bodyBytes },
                    { "pause_ms", base::toMilliseconds(bound.pause) } });
    return RefusalCause::TooLarge;
}

auto RefusedSizes::refused(const std::string &server, base::TimePoint now) const
    -> std::vector<RequestSize>
{
    auto sizes = std::vector<RequestSize>();
    const auto found = m_bounds.find(server);
    if (found == m_bounds.end())
        return sizes;
    for (const auto &bound : found->second) {
        if (now < bound.until)
            sizes.push_back(bound.size);
    }
    return sizes;
}

auto RefusedSizes::forget(const std::string &server) -> void
{
    m_taken.erase(server);
    m_bounds.erase(server);
}

} // namespace nutmegplank::process::health
