#pragma once

#include <optional>
#include <string>
#include <vector>

#include "version/batch/batch.h"
#include "version/records/records.pb.h"

namespace nutmegplank::version::batch {

//! Encodes \a submission as bulk records of at most \a recordBytes bytes each. \a attempt is unique
//! for each attempt to store it.
auto encodeSubmission(const Submission &submission, const std::string &attempt,
                      std::size_t recordBytes) -> std::vector<std::string>;
//! Encodes results of one batch as a bulk record.
auto encodeResults(const std::string &batchKey, const std::vector<Result> &results) -> std::string;

//! Encodes the progress of unfinished items of one batch as a bulk record.
auto encodeProgress(const std::string &batchKey, const std::vector<Progress> &items) -> std::string;

//! Encodes an index record; so do the three functions that follow.
auto encodeAccepted(const Submission &submission, const BulkPlace &place,
                    const std::string &attempt) -> std::string;
auto encodeListed(const std::string &batchKey, const BulkPlace &place,
                  const std::vector<Result> &results) -> std::string;
auto encodeListedProgress(const std::string &batchKey, const BulkPlace &place) -> std::string;
auto encodeEnd(const std::string &batchKey) -> std::string;

//! Reassembles a submission from its parts as they are read.
class SubmissionAssembler
{
public:
    SubmissionAssembler(std::string batchId, std::string attempt)
        : m_batchId(std::move(batchId))
        , m_attempt(std::move(attempt))
    { }

    //! Adds one bulk record; ignores records of other batches and attempts.
    auto addRecord(const std::string &data) -> void;
    auto complete() const -> bool { return !m_parts.empty() && m_present == m_parts.size(); }
    //! Returns nullopt if the parts do not form a valid submission.
    auto finish() const -> std::optional<Submission>;

private:
    std::string m_batchId;
    std::string m_attempt;
    std::vector<std::string> m_parts;
    std::size_t m_present = 0;
};

//! Returns the owner that a record names.
auto readOwner(const std::string &workspace, bool shared) -> routing::Owner;

//! Returns the results in a bulk record, or nullopt if it has none of the batch.
auto decodeResults(const std::string &data, const std::string &batchKey)
    -> std::optional<std::vector<Result>>;

//! Returns the progress in a bulk record, or nullopt if it has none of the batch.
auto decodeProgress(const std::string &data, const std::string &batchKey)
    -> std::optional<std::vector<Progress>>;

} // namespace nutmegplank::version::batch
