#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include "base/enumtable.h"
#include "base/timepoint.h"

//! Interface to the platform's log: partitions of records addressed by offset, and keyed topics
//! that keep only the newest record of each key.
namespace nutmegplank::version::journal {

struct Partition
{
    std::string topic;
    std::uint32_t number = 0;
};

struct Record
{
    std::uint64_t offset = 0;
    std::string data;
};

//! Result of one read.
struct Page
{
    std::vector<Record> records;
    std::uint64_t end = 0;   //!< Offset after the newest record of the partition.
    std::uint64_t first = 0; //!< Offset of the oldest retained record.
    bool compacted = false;  //!< The requested records were removed; continue at \a first.
};

//! The newest record of a key.
struct KeyedRecord
{
    std::string key;
    std::string value;
    std::uint64_t offset = 0;
};

//! The newest records of a keyed topic.
struct KeyedPage
{
    std::vector<KeyedRecord> records;
    std::uint64_t end = 0; //!< Partition offset to continue reading from without missing records.
};

//! Identifies a writer. The log rejects an epoch lower than the highest it has seen for the name,
//! which fences former writers.
struct Producer
{
    std::string name;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0; //!< Increases by one with each append within an epoch.
};

//! Preconditions of an append; an unset one is not checked.
struct AppendCondition
{
    std::optional<std::uint64_t> at; //!< Required end offset of the partition.
    std::optional<Producer> producer;
};

enum class AppendOutcome {
    Done,
    NotWritten, //!< Nothing was written: the log is busy or away, or the request was never sent.
    Rejected,   //!< Nothing was written, and a repeat would be refused as well.
    Conflict,   //!< The partition does not end at the required offset.
    Fenced,     //!< The log has already seen a higher epoch of this producer.
    Sequence, //!< Not the producer's next sequence number; AppendResult::end has the expected one.
    Unknown,  //!< No response: the records may be written, now or later, or not.
};

constexpr auto APPEND_OUTCOME_NAMES = base::EnumTable<AppendOutcome, 7> { {
    { AppendOutcome::Done, "done" },
    { AppendOutcome::NotWritten, "not_done" },
    { AppendOutcome::Rejected, "rejected" },
    { AppendOutcome::Conflict, "conflict" },
    { AppendOutcome::Fenced, "fenced" },
    { AppendOutcome::Sequence, "sequence" },
    { AppendOutcome::Unknown, "unknown" },
} };

struct AppendResult
{
    AppendOutcome outcome = AppendOutcome::Unknown;
    std::uint64_t offset = 0; //!< Offset of the first appended record.
    std::uint64_t end = 0;
    std::string detail; //!< Response of the log as text, for log output only.
};

//! Limits of one append, from the settings.
struct AppendLimits
{
    std::size_t recordBytes = 262144;
    std::size_t callBytes = 2097152;
    std::uint32_t partitions = 12; //!< Per topic.
};

//! Time limits of one read.
struct ReadTimes
{
    base::Duration wait { 0 }; //!< Long-poll time: how long the log may wait for a new record.
    //! Time beyond \a wait until the read fails as unanswered. The log usually answers in 4 ms and
    //! can be about fifty times slower at worst.
    base::Duration grace = std::chrono::milliseconds(800);
};

//! Access to the log. Calls run on the executor of the calling coroutine.
class IJournal
{
public:
    virtual ~IJournal() = default;

    //! Appends \a records atomically. An empty list only registers the producer's epoch.
    virtual auto append(Partition partition, std::vector<std::string> records,
                        AppendCondition condition, base::Duration timeout)
        -> boost::asio::awaitable<AppendResult> = 0;
    //! Appends \a records atomically without a precondition.
    auto appendUnconditionally(Partition partition, std::vector<std::string> records,
                               base::Duration timeout) -> boost::asio::awaitable<AppendResult>
    {
        return append(std::move(partition), std::move(records), AppendCondition(), timeout);
    }
    //! Reads records starting at offset \a from.
    virtual auto read(Partition partition, std::uint64_t from, ReadTimes times)
        -> boost::asio::awaitable<absl::StatusOr<Page>> = 0;
    //! The newest record of each key of a keyed topic.
    virtual auto newest(std::string topic) -> boost::asio::awaitable<absl::StatusOr<KeyedPage>> = 0;
    virtual auto limits() const -> AppendLimits = 0;
};

//! Splits a record of a keyed topic, which consists of one byte with the key length, the key and
//! the value. An empty value means that the key was removed. Returns nullopt if the record is
//! malformed.
auto parseKeyedRecord(const Record &record) -> std::optional<KeyedRecord>;

} // namespace nutmegplank::version::journal
