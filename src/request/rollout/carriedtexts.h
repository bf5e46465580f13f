#pragma once

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/timepoint.h"
#include "version/batch/batch.h"

namespace nutmegplank::request::rollout {

//! Texts of the unfinished items of ended batches. Suits trainers that submit the groups which a
//! batch left incomplete again in a later batch, under the same item ids, and wait for exactly
//! these: they are the longest items, and continuing their text shortens the step by what was
//! generated before. Limited in number, bytes and age. Not thread-safe.
class CarriedTexts
{
public:
    //! Keeps the text of \a item. Empty texts are not kept.
    auto keep(const std::string &workspace, const version::batch::Item &item,
              version::batch::Progress text, base::TimePoint now) -> void;
    //! Removes and returns the text of \a item if it was kept for an identical item of the same
    //! workspace and all versions that generated it are allowed.
    auto take(const std::string &workspace, const version::batch::Item &item,
              std::uint64_t minVersion, bool singleVersion, base::TimePoint now)
        -> std::optional<version::batch::Progress>;
    auto clear() -> void;
    auto size() const -> std::size_t { return m_texts.size(); }

private:
    struct Entry
    {
        version::batch::Progress text;
        std::uint64_t fingerprint = 0; //!< Of all that determines the text besides the id.
        base::TimePoint keptAt {};
    };

    auto expire(base::TimePoint now) -> void;
    auto remove(const std::string &key) -> void;

    std::unordered_map<std::string, Entry> m_texts; //!< By workspace and item id.
    //! Keys with the time when they were kept, oldest first; may hold keys that were taken since.
    std::deque<std::pair<base::TimePoint, std::string>> m_order;
    std::size_t m_bytes = 0;
};

} // namespace nutmegplank::request::rollout
