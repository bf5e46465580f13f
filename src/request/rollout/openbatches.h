#pragma once

#include <map>
#include <string>
#include <vector>

#include "request/rollout/carriedtexts.h"
#include "request/rollout/openbatch.h"
#include "request/rollout/placement.h"

namespace nutmegplank::request::rollout {

//! The batches whose items are being run, by key, and the texts that ended batches leave to later
//! ones. Not thread-safe.
class OpenBatches
{
public:
    using Map = std::map<std::string, OpenBatch>;

    struct Added
    {
        OpenBatch &batch;
        std::size_t resumed =
            0; //!< Items that continue a text which an earlier lease holder stored.
        std::size_t carried = 0; //!< Items that continue a text of an ended batch.
    };

    auto all() -> Map & { return m_batches; }
    auto all() const -> const Map & { return m_batches; }

    //! Adds \a batch, whose routes are resolved, with the texts known of its items.
    auto add(OpenBatch batch, const std::vector<version::batch::Progress> &progress,
             base::TimePoint now) -> Added;
    //! Removes a batch that has ended; later batches may continue the texts of its unfinished
    //! items.
    auto remove(const std::string &key, base::TimePoint now) -> void;
    auto clear() -> void;

    //! The progress of unfinished items by batch key. An item is included only if it has at least
    //! \a minNewEvents events more than when it was last returned, or if its text has been
    //! completed since then.
    auto collectProgress(std::uint32_t minNewEvents)
        -> std::map<std::string, std::vector<version::batch::Progress>>;
    //! Expected remaining output tokens of unfinished items, by model.
    auto demand() const -> std::map<std::string, double>;
    //! The lowest weight version with which every open batch of \a model can run; 0 if no batch of
    //! it is open.
    auto neededVersion(const std::string &model) const -> std::uint64_t;
    //! Appends the items that may be placed now; their handles are indexes into \a keys.
    auto collectWaiting(std::vector<WaitingItem> &waiting, std::vector<ItemKey> &keys,
                        base::TimePoint now) const -> void;
    //! Adds the tokens that the running items are expected to need to the load of their engines.
    auto reserveRunning(std::vector<EngineLoad> &engines) const -> void;

private:
    auto keepTexts(const OpenBatch &batch, base::TimePoint now) -> void;
    auto takeTexts(const OpenBatch &batch, base::TimePoint now)
        -> std::vector<version::batch::Progress>;

    Map m_batches;
    CarriedTexts m_carriedTexts;
};

} // namespace nutmegplank::request::rollout
