#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "version/batch/batch.h"
#include "version/journal/ijournal.h"
#include "version/records/records.pb.h"

namespace nutmegplank::version::batch {

//! Callbacks for changes of batches; each may be empty.
struct BatchLogHooks
{
    std::function<void(const Batch &batch)> onAccepted;
    std::function<void(const Batch &batch)> onResults;
    std::function<void(const Batch &batch)> onEnded;
};

//! Index of all batches, built by replaying its records. Replay is deterministic: at the same
//! offset all processes have the same batches with the same results at the same positions. Not
//! thread-safe.
class BatchLog
{
public:
    explicit BatchLog(BatchLogHooks hooks = {})
        : m_hooks(std::move(hooks))
    { }

    auto apply(const journal::Record &record) -> void;
    //! Returns null if the batch is unknown.
    auto find(const std::string &key) const -> const Batch *;
    //! Returns the batches of all workspaces that have the id \a id.
    auto findById(const std::string &id) const -> std::vector<const Batch *>;
    //! By key.
    auto all() const -> const std::map<std::string, std::unique_ptr<Batch>> & { return m_batches; }
    //! Removes batches that are no longer open and were submitted before \a submittedBeforeMs (UTC
    //! milliseconds since the Unix epoch, from TrueTime).
    auto forget(std::int64_t submittedBeforeMs) -> void;

private:
    auto accept(const record::BatchAccepted &accepted) -> void;
    auto addResults(const record::ListedResults &listed) -> void;
    auto addProgress(const record::ListedProgress &progress) -> void;
    auto end(const record::BatchEnd &record) -> void;
    //! Returns the batch that an index record names, or null.
    auto named(const std::string &workspace, const std::string &id) -> Batch *;

    BatchLogHooks m_hooks;
    std::map<std::string, std::unique_ptr<Batch>> m_batches;
    std::set<std::string> m_endedEarly; //!< Batches that ended before they were accepted.
};

} // namespace nutmegplank::version::batch
