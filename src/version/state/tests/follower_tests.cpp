#include "version/state/internal/follower.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "recordsource.h"

using namespace nutmegplank;
using namespace nutmegplank::version::state;
namespace json = boost::json;

namespace {

//! A log that retains only the newest records, with a snapshot writer that may stop before the last
//! chunk.
class TruncatedLog
{
public:
    explicit TruncatedLog(std::uint64_t seed)
        : m_source(seed)
    { }

    auto append() -> void
    {
        push(m_source.make(next()));
        m_reference.apply(m_records.back());
    }

    auto writeSnapshot(bool complete) -> void
    {
        const auto at = m_reference.nextOffset();
        const auto parts = splitSnapshot(m_reference.serialize(), 700);
        const auto written = complete ? parts.size() : parts.size() / 2;
        for (auto index = std::size_t(0); index < written; ++index) {
            push(Record { next(),
                          base::concat("chunk", next()),
                          { { "kind", "snapshot_chunk" },
                            { "snapshot_id", base::concat("s", at, complete ? "w" : "h") },
                            { "index", index },
                            { "count", parts.size() },
                            { "at_offset", at },
                            { "part", parts[index] } } });
            m_reference.apply(m_records.back());
        }
    }

    auto expireBefore(std::uint64_t first) -> void
    {
        m_firstRetained = std::max(m_firstRetained, first);
    }
    auto first() const -> std::uint64_t { return m_firstRetained; }
    auto next() const -> std::uint64_t { return m_records.size() + 1; }
    auto reference() const -> const Replay & { return m_reference; }
    auto source() -> RecordSource & { return m_source; }

    //! Passes the result of one read to \a follower.
    auto readOnce(Follower &follower, std::size_t maxRecords) const -> void
    {
        const auto from = std::max<std::uint64_t>(follower.position(), 1);
        if (from < m_firstRetained) {
            follower.startRecovery(m_firstRetained);
            return;
        }
        auto records = std::vector<Record>();
        for (auto offset = from; offset < next() && records.size() < maxRecords; ++offset)
            records.push_back(m_records[offset - 1]);
        const auto readOn = from + records.size();
        follower.processRecords(std::move(records), readOn);
    }

private:
    auto push(Record record) -> void { m_records.push_back(std::move(record)); }

    RecordSource m_source;
    Replay m_reference;
    std::vector<Record> m_records;
    std::uint64_t m_firstRetained = 1;
};

auto catchUp(const TruncatedLog &log, Follower &follower) -> void
{
    while (follower.position() < log.next())
        log.readOnce(follower, 16);
}

} // namespace

// Guards against a state that misses or repeats records when a process recovers from a snapshot
// after the log has expired records, also with incomplete snapshots and restarts in between.
TEST(Follower, Follower_Fuzz_StateEqualsReplayOfTheWholeLogWhicheverRecordsExpired)
{
    auto recoveries = 0;
    EXPECT_TRUE(rc::check([&recoveries] {
        auto log = TruncatedLog(*rc::gen::arbitrary<std::uint64_t>());
        auto follower = Follower();
        auto lastSnapshot = std::uint64_t(1);
        auto newest = std::uint64_t(0);
        for (auto step = 0; step < 200; ++step) {
            for (auto count = log.source().randomBelow(6); count > 0; --count)
                log.append();
            if (log.source().randomBelow(25) == 0)
                log.writeSnapshot(false);
            if (log.source().randomBelow(25) == 0) {
                // The retained records always include one complete snapshot and all records from
                // its offset on.
                log.expireBefore(lastSnapshot);
                lastSnapshot = log.reference().nextOffset();
                log.writeSnapshot(true);
            }
            if (log.source().randomBelow(40) == 0)
                follower = Follower(); // Process restart.
            if (log.source().randomBelow(3) == 0)
                log.readOnce(follower, static_cast<std::size_t>(1 + log.source().randomBelow(30)));
            recoveries += follower.recovering() ? 1 : 0;
            newest = std::max(newest, follower.replay().nextOffset());
            RC_ASSERT(follower.replay().nextOffset() <= log.next());
        }
        catchUp(log, follower);
        log.writeSnapshot(true);
        catchUp(log, follower);
        RC_ASSERT(!follower.recovering());
        RC_ASSERT(follower.replay().serialize() == log.reference().serialize());
    }));
    EXPECT_GT(recoveries, 100);
}

// A part that ends inside a UTF-8 character would be invalid text in its JSON record.
TEST(Follower, Follower_Snapshot_IsNeverSplitInsideACharacter)
{
    const auto text = std::string("aé€😀é");
    for (auto bytes = std::size_t(4); bytes < 8; ++bytes) {
        auto joined = std::string();
        for (const auto &part : splitSnapshot(text, bytes)) {
            EXPECT_NE(static_cast<unsigned char>(part.front()) & 0xC0U, 0x80U);
            joined += part;
        }
        EXPECT_EQ(joined, text);
    }
}
