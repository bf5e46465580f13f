#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "request/rollout/itemrun.h"
#include "request/rollout/lengthhistory.h"
#include "request/rollout/placement.h"
#include "request/rollout/rundecision.h"
#include "version/batch/batch.h"
#include "version/routing/routingtable.h"

namespace nutmegplank::request::rollout {

using SubmissionPtr = std::shared_ptr<const version::batch::Submission>;

enum class ItemState {
    Waiting,
    Running,
    Scoring, //!< The text is complete; its score is being requested.
    Done,
};

//! An item of an open batch with the state of its current run and the results of earlier runs.
struct OpenItem
{
    ItemState state = ItemState::Waiting;
    std::shared_ptr<Transcript> transcript;
    std::shared_ptr<ItemRun> run;
    const version::routing::Route *route = nullptr; //!< Null if the configuration has none.
    std::uint32_t tokensPerEvent = 1;               //!< Of the engines of its route.
    std::string engine;                             //!< Runs the item, or ran it last.
    std::int64_t engineIncarnation = 0;             //!< Of the process that runs it.
    std::string avoidedEngine;                      //!< The next run prefers any other engine.
    FailureCounts failureCounts;
    std::uint32_t silentRuns = 0;    //!< Runs that were ended because the engine sent no events.
    std::string score;               //!< Set when the scorer has answered.
    std::uint32_t savedEvents = 0;   //!< In the progress last returned for storage.
    bool savedComplete = false;      //!< That progress said that the text is complete.
    std::uint32_t group = 0;         //!< Index into OpenBatch::unfinishedInGroup.
    std::uint32_t moves = 0;         //!< Runs that were ended to go on at a faster engine.
    std::uint32_t sampledEvents = 0; //!< Of the current run, at the last interval sample.
    base::TimePoint sampledAt {};    //!< Time of the last event in that sample.
    base::TimePoint predictedEnd {}; //!< Of the current run; not set while speeds are not known.
    base::TimePoint notBefore {};    //!< Earliest start of the next run.
    base::TimePoint waitingSince {}; //!< End of the last run, or opening of the batch.
};

//! A batch whose items are being run.
struct OpenBatch
{
    std::string key; //!< As of version::batch::makeBatchKey.
    SubmissionPtr submission;
    std::vector<OpenItem> items;
    std::vector<std::uint32_t> unfinishedInGroup; //!< Items without a result, by group.
    base::TimePoint dueAt {};     //!< Deadline by which its results should be complete.
    std::int64_t expiresAtMs = 0; //!< End of the retention time, in milliseconds since 1970.
    version::routing::RoutingTablePtr table; //!< Owns the routes of the items.
};

//! Identifies an item of an open batch. Runs keep a key and no reference, because a batch may be
//! removed while a run is in progress.
struct ItemKey
{
    std::string batch;    //!< Key of the batch.
    std::size_t item = 0; //!< Index into OpenBatch::items.
};

//! Sets the items' routes from \a table. Does nothing if the batch already uses \a table.
auto resolveRoutes(OpenBatch &batch, version::routing::RoutingTablePtr table) -> void;
//! Sets the items' groups and counts the unfinished items of each.
auto assignGroups(OpenBatch &batch) -> void;
//! Restores the text of unfinished items that an earlier lease holder stored, where it has more
//! events than the current text. Items whose text is complete are in ItemState::Scoring
//! afterwards. Returns the number of restored items.
auto restoreProgress(OpenBatch &batch, const std::vector<version::batch::Progress> &progress)
    -> std::size_t;
//! The item's text so far.
auto progressOf(const OpenBatch &batch, std::size_t index) -> version::batch::Progress;
//! How large the request of the item's next run is.
auto requestSize(const OpenBatch &batch, std::size_t index) -> process::health::RequestSize;
//! The item as the placement sees it. \a handle is returned with its assignment.
auto describeWaiting(const OpenBatch &batch, std::size_t index, std::size_t handle) -> WaitingItem;
//! The caller's estimate of the item's whole output, in events.
auto hintEvents(const OpenBatch &batch, std::size_t index) -> double;
//! Events that the item still has to generate, by a cautious estimate.
auto cautiousRemainingEvents(const LengthHistory &lengths, const OpenBatch &batch,
                             std::size_t index) -> double;
//! Estimated number of output tokens that the item still has to generate.
auto expectedRemainingTokens(const OpenBatch &batch, std::size_t index) -> std::uint64_t;

} // namespace nutmegplank::request::rollout
