#include "request/rollout/carriedtexts.h"

#include <algorithm>

#include "base/hash.h"
#include "base/text.h"

namespace nutmegplank::request::rollout {

namespace {

constexpr auto MAX_TEXTS = std::size_t(4000);
//! Small beside the memory of the smallest VM, 160 MB.
constexpr auto MAX_BYTES = std::size_t(8 * 1024 * 1024);
//! Groups come again within a few steps; weight versions move on after that.
constexpr auto MAX_AGE = base::Duration(std::chrono::seconds(40));

auto makeKey(const std::string &workspace, const version::batch::Item &item) -> std::string
{
    // Ids may contain any character: the length tells where the workspace ends.
    return base::concat(workspace.size(), "/", workspace, item.id);
}

auto fingerprintOf(const version::batch::Item &item) -> std::uint64_t
{
    auto fingerprint = base::hash64(item.body, base::hash64(item.path, item.tokens));
    for (const auto &header : item.headers)
        fingerprint = base::hash64(header.value, base::hash64(header.name, fingerprint));
    return fingerprint;
}

} // namespace

auto CarriedTexts::keep(const std::string &workspace, const version::batch::Item &item,
                        version::batch::Progress text, base::TimePoint now) -> void
{
    if (text.events == 0)
        return;
    const auto key = makeKey(workspace, item);
    remove(key);
    m_bytes += text.text.size();
    m_texts[key] = Entry { std::move(text), fingerprintOf(item), now };
    m_order.emplace_back(now, key);
    expire(now);
}

auto CarriedTexts::take(const std::string &workspace, const version::batch::Item &item,
                        std::uint64_t minVersion, bool singleVersion, base::TimePoint now)
    -> std::optional<version::batch::Progress>
{
    expire(now);
    const auto key = makeKey(workspace, item);
    const auto found = m_texts.find(key);
    if (found == m_texts.end())
        return std::nullopt;
    auto entry = std::move(found->second);
    m_bytes -= entry.text.text.size();
    m_texts.erase(found);
    const auto &versions = entry.text.versions;
    const auto allAllowed = std::ranges::all_of(
        versions, [minVersion](std::uint64_t version) { return version >= minVersion; });
    if (entry.fingerprint != fingerprintOf(item) || !allAllowed
        || (singleVersion && versions.size() > 1))
        return std::nullopt;
    return std::move(entry.text);
}

auto CarriedTexts::clear() -> void
{
    m_texts.clear();
    m_order.clear();
    m_bytes = 0;
}

auto CarriedTexts::remove(const std::string &key) -> void
{
    const auto found = m_texts.find(key);
    if (found == m_texts.end())
        return;
    m_bytes -= found->second.text.text.size();
    m_texts.erase(found);
}

auto CarriedTexts::expire(base::TimePoint now) -> void
{
    while (!m_order.empty()) {
        const auto &[keptAt, key] = m_order.front();
        const auto isFull = m_order.size() > MAX_TEXTS || m_bytes > MAX_BYTES;
        if (now - keptAt < MAX_AGE && !isFull)
            return;
        const auto found = m_texts.find(key);
        // The key may have been kept again since.
        if (found != m_texts.end() && found->second.keptAt == keptAt)
            remove(key);
        m_order.pop_front();
    }
}

} // namespace nutmegplank::request::rollout
