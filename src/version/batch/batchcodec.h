#pragma once

#include <optional>
#include <string>
#include <vector>

#include "version/batch/batch.h"
#include "version/records/records.pb.h"

namespace nutmegplank::version::batch {

//! The records that put \a submission into the log, none larger than \a recordBytes. \a attempt is
//! unique for each try to store it.
auto encodeSubmission(const Submission &submission, const std::string &attempt,
                      std::size_t recordBytes) -> std::vector<std::string>;
auto encodeResults(const std::string &batchId, const std::vector<Result> &results) -> std::string;
auto encodeEnd(const std::string &batchId) -> std::string;

//! Nothing when \a data is no serialized submission.
auto decodeSubmission(const std::string &data) -> std::optional<Submission>;
auto decodeResult(const record::Result &message) -> Result;

} // namespace nutmegplank::version::batch
