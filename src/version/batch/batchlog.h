#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "version/batch/batch.h"
#include "version/journal/ijournal.h"
#include "version/records/records.pb.h"

namespace nutmegplank::version::batch {

//! What changed; all hooks may be empty.
struct BatchLogHooks
{
    std::function<void(const Batch &batch)> onAccepted;
    std::function<void(const Batch &batch)> onResults;
    std::function<void(const Batch &batch)> onEnded;
};

//! The index of all batches by replay of its records. Deterministic: after the same offset all
//! processes know the same batches with the same results at the same positions. Not safe for
//! several threads.
class BatchLog
{
public:
    explicit BatchLog(BatchLogHooks hooks = {})
        : m_hooks(std::move(hooks))
    { }

    auto apply(const journal::Record &record) -> void;
    //! Null when no such batch is known.
    auto find(const std::string &id) const -> const Batch *;
    auto all() const -> const std::map<std::string, std::unique_ptr<Batch>> & { return m_batches; }
    //! Forgets batches that are done with and were submitted before \a submittedBeforeMs (true
    //! time).
    auto forget(std::int64_t submittedBeforeMs) -> void;

private:
    auto accept(const record::BatchAccepted &accepted) -> void;
    auto list(const record::ListedResults &listed) -> void;
    auto noteProgress(const record::ListedProgress &progress) -> void;
    auto end(const std::string &id) -> void;

    BatchLogHooks m_hooks;
    std::map<std::string, std::unique_ptr<Batch>> m_batches;
    std::set<std::string> m_endedEarly; //!< Ends that were read before their batch.
};

} // namespace nutmegplank::version::batch
