#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/timepoint.h"
#include "connection/http/message.h"

//! Batches of rollout items, as they stand in the log.
namespace nutmegplank::version::batch {

//! One request of a batch.
struct Item
{
    std::string id;
    std::string path;
    connection::http::Headers headers;
    std::string body;
    std::uint64_t tokens = 0;         //!< Prompt and the most output together.
    std::uint64_t promptTokens = 0;
    std::uint64_t expectedOutput = 0; //!< Tokens; its caller's estimate, often far off.
    std::string group;                //!< Items of a group share their prompt and count together.
};

//! A batch as a caller hands it in.
struct Submission
{
    std::string id;
    std::string host;
    std::string path;
    std::string workspace;
    std::string model;
    std::uint64_t minVersion = 0; //!< Oldest weights that may make its tokens.
    std::uint32_t step = 0;
    std::uint32_t groupCount = 0; //!< Groups that its trainer waits for.
    std::int64_t submittedMs = 0; //!< True time since 1970.
    std::vector<Item> items;
};

//! An item that is done with.
struct Result
{
    std::uint32_t item = 0; //!< Index in the submission.
    bool lost = false;      //!< Given up; there is no text.
    std::string text;
    std::vector<std::uint64_t> versions; //!< Weights that made the text.
};

//! A batch with everything that the log says of it.
struct Batch
{
    Submission submission;
    std::vector<Result> results; //!< Positions never change.
    std::vector<bool> listed;    //!< By item.
    bool ended = false;

    auto open() const -> bool { return !ended && results.size() < submission.items.size(); }
};

} // namespace nutmegplank::version::batch
