#pragma once

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "process/metrics/metrics.h"
#include "version/batch/batch.h"
#include "version/batch/bulkpartitions.h"
#include "version/batch/resultqueue.h"
#include "version/journal/ijournal.h"

namespace nutmegplank::app::node {

//! Notices of the writer.
struct ResultWriterHooks
{
    std::function<void()> onFenced; //!< Another process has taken over.
    //! The log takes no record with this result, whatever else is in it.
    std::function<void(const std::string &batch, std::uint32_t item)> onRejected;
};

//! Puts finished results into the log, many at a time, under the fencing number of the process in
//! charge, so that a former one can write nothing more.
class ResultWriter
{
public:
    ResultWriter(boost::asio::io_context &context, version::journal::IJournal &journal,
                 version::batch::BulkPartitions &bulk, process::metrics::Registry &metrics,
                 ResultWriterHooks hooks);

    //! Fences off all earlier writers. Gives the log's end as of then; nothing when that failed.
    auto begin(std::uint64_t fence) -> boost::asio::awaitable<std::optional<std::uint64_t>>;
    auto stop() -> void;
    auto add(const std::string &batch, version::batch::Result result) -> void;
    //! Keeps what unfinished items of \a batch have so far.
    auto addProgress(const std::string &batch, std::vector<version::batch::Progress> items) -> void;
    //! Of results that wait.
    auto waitingBytes() const -> std::size_t { return m_queue.resultBytes(); }
    //! Whether progress that was added has not been taken by a write yet.
    auto hasWaitingProgress() const -> bool { return m_queue.hasProgress(); }
    //! Returns once everything is written, or at \a until.
    auto drain(base::TimePoint until) -> boost::asio::awaitable<void>;

private:
    //! A group whose texts are in the log and whose index record is not.
    struct Stored
    {
        version::batch::ResultGroup group; //!< Without its texts.
        std::string index;
    };

    auto startWriting() -> void;

    auto writeLoop(std::uint64_t fence) -> boost::asio::awaitable<void>;
    auto storeTexts(std::uint64_t fence, std::vector<version::batch::ResultGroup> groups)
        -> boost::asio::awaitable<std::vector<Stored>>;
    auto storeText(std::uint64_t fence, const version::batch::ResultGroup &group)
        -> boost::asio::awaitable<std::optional<version::batch::BulkPlace>>;
    auto writeIndex(std::uint64_t fence, std::vector<Stored> stored)
        -> boost::asio::awaitable<void>;
    auto appendIndex(std::uint64_t fence, std::vector<std::string> records)
        -> boost::asio::awaitable<bool>;
    auto giveUp(const version::batch::ResultGroup &group, std::string_view step) -> void;
    auto logFailure(std::string_view step, std::uint64_t fence,
                    const version::journal::AppendResult &result) const -> void;

    boost::asio::io_context &m_context;
    version::journal::IJournal &m_journal;
    version::batch::BulkPartitions &m_bulk;
    ResultWriterHooks m_hooks;
    version::batch::ResultQueue m_queue;
    std::uint64_t m_fence = 0;
    std::uint64_t m_sequence = 0; //!< Of the last append that is known to be written.
    bool m_writing = false;
    process::metrics::Distribution &m_recordsPerAppend;
    process::metrics::Counter &m_rejected;
};

} // namespace nutmegplank::app::node
