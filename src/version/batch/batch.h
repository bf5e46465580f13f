#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/timepoint.h"
#include "connection/http/message.h"
#include "version/batch/batchkey.h"
#include "version/routing/owner.h"

//! Batches of rollout items. Every machine follows their small index; request bodies and generated
//! texts are stored in bulk partitions and read on demand.
namespace nutmegplank::version::batch {

//! A call to a plain service that rates the text of an item once it is complete. It is sent without
//! the caller's key and workspace, and may be repeated.
struct Scorer
{
    std::string id; //!< Request id of the call.
    std::string host;
    std::string path;
    std::string body;
};

//! One request of a batch.
struct Item
{
    std::string id;
    std::string path;
    connection::http::Headers headers;
    std::string body;
    std::uint64_t tokens = 0; //!< Prompt tokens plus maximum output tokens.
    std::uint64_t promptTokens = 0;
    std::uint64_t expectedOutput = 0; //!< Tokens; estimated by the caller and often inaccurate.
    std::string group;            //!< Items of a group share a prompt and are counted as one group.
    std::optional<Scorer> scorer; //!< Not set if the item is listed without a score.
};

//! Metadata of a batch.
struct BatchHead
{
    std::string id; //!< Chosen by the caller.
    std::string host;
    std::string path;
    routing::Owner owner;
    std::string model;
    std::uint64_t minVersion = 0; //!< Oldest version of the weights allowed to generate its tokens.
    std::uint32_t step = 0;
    std::uint32_t groupCount = 0; //!< Number of groups that the trainer waits for.
    std::int64_t submittedMs = 0; //!< UTC milliseconds since the Unix epoch, from TrueTime.
    //! Version of the configuration under which it was accepted; 0 if not known.
    std::uint64_t configuration = 0;

    auto key() const -> std::string { return makeBatchKey(owner.workspace, id); }
};

//! A batch as submitted by a caller.
struct Submission
{
    BatchHead head;
    std::vector<Item> items;
};

//! Final result of an item.
struct Result
{
    std::uint32_t item = 0; //!< Index in the submission.
    std::string itemId;
    bool lost = false; //!< The item was abandoned and has no text.
    std::string text;
    std::vector<std::uint64_t> versions; //!< Versions of the weights that generated the text.
    std::string score;                   //!< Stamp of the scorer's response; empty if not scored.
};

//! Output of an unfinished item so far.
struct Progress
{
    std::uint32_t item = 0; //!< Index in the submission.
    std::uint64_t lastEvent = 0;
    std::uint32_t events = 0;
    std::string text;
    std::vector<std::uint64_t> versions;
    std::string software;  //!< Software version that began the text; empty if not known.
    bool complete = false; //!< The text is whole and only its score is missing.
};

//! Location of a record in the bulk partitions.
struct BulkPlace
{
    std::uint32_t partition = 0;
    std::uint64_t offset = 0;

    auto operator==(const BulkPlace &) const -> bool = default;
};

//! Results of a batch that are stored in one bulk record.
struct ListedGroup
{
    BulkPlace place;
    std::uint64_t firstPosition = 0; //!< Position of its first counted result within the batch.
    //! Indexes of the counted results within the record, in order; duplicates and invalid
    //! items are left out.
    std::vector<std::uint32_t> kept;
};

//! State of a batch according to the index.
struct Batch
{
    BatchHead head;
    BulkPlace place;          //!< First part of the submission.
    std::string attempt;      //!< Attempt that stored the submission.
    std::vector<bool> listed; //!< Per item: whether the index has a result.
    std::vector<ListedGroup> groups;
    std::vector<BulkPlace> progress; //!< Stored progress of unfinished items, oldest first.
    std::uint64_t listedCount = 0;   //!< Number of results; their positions never change.
    bool ended = false;

    auto itemCount() const -> std::size_t { return listed.size(); }
    auto open() const -> bool { return !ended && listedCount < listed.size(); }
};

} // namespace nutmegplank::version::batch
