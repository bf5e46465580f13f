#include "version/state/internal/follower.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "recordsource.h"

using namespace nutmegplank;
using namespace nutmegplank::version::state;
namespace json = boost::json;

namespace {

//! A log that keeps the newest records only, with a writer of snapshots whose writing may end
//! midway.
class KeptLog
{
public:
    explicit KeptLog(std::uint64_t seed)
        : m_source(seed)
    { }

    auto append() -> void
    {
        push(m_source.make(next()));
        m_truth.apply(m_records.back());
    }

    auto writeSnapshot(bool whole) -> void
    {
        const auto at = m_truth.nextOffset();
        const auto parts = splitSnapshot(m_truth.serialize(), 700);
        const auto written = whole ? parts.size() : parts.size() / 2;
        for (auto index = std::size_t(0); index < written; ++index) {
            push(Record { next(),
                          base::concat("chunk", next()),
                          { { "kind", "snapshot_chunk" },
                            { "snapshot_id", base::concat("s", at, whole ? "w" : "h") },
                            { "index", index },
                            { "count", parts.size() },
                            { "at_offset", at },
                            { "part", parts[index] } } });
            m_truth.apply(m_records.back());
        }
    }

    auto expireBefore(std::uint64_t first) -> void { m_first = std::max(m_first, first); }
    auto first() const -> std::uint64_t { return m_first; }
    auto next() const -> std::uint64_t { return m_records.size() + 1; }
    auto truth() const -> const Replay & { return m_truth; }
    auto source() -> RecordSource & { return m_source; }

    //! What one read does to a follower.
    auto feed(Follower &follower, std::size_t most) const -> void
    {
        const auto from = std::max<std::uint64_t>(follower.position(), 1);
        if (from < m_first) {
            follower.expire(m_first);
            return;
        }
        auto records = std::vector<Record>();
        for (auto offset = from; offset < next() && records.size() < most; ++offset)
            records.push_back(m_records[offset - 1]);
        const auto readOn = from + records.size();
        follower.take(std::move(records), readOn);
    }

private:
    auto push(Record record) -> void { m_records.push_back(std::move(record)); }

    RecordSource m_source;
    Replay m_truth;
    std::vector<Record> m_records;
    std::uint64_t m_first = 1;
};

auto catchUp(const KeptLog &log, Follower &follower) -> void
{
    while (follower.position() < log.next())
        log.feed(follower, 16);
}

} // namespace

TEST(Follower, Follower_Fuzz_StateIsThatOfTheWholeLogWhateverExpired)
{
    auto recoveries = 0;
    EXPECT_TRUE(rc::check([&recoveries] {
        auto log = KeptLog(*rc::gen::arbitrary<std::uint64_t>());
        auto follower = Follower();
        auto lastSnapshot = std::uint64_t(1);
        auto newest = std::uint64_t(0);
        for (auto step = 0; step < 200; ++step) {
            for (auto count = log.source().any(6); count > 0; --count)
                log.append();
            if (log.source().any(25) == 0)
                log.writeSnapshot(false);
            if (log.source().any(25) == 0) {
                // What is kept always holds one whole snapshot and all behind its offset.
                log.expireBefore(lastSnapshot);
                lastSnapshot = log.truth().nextOffset();
                log.writeSnapshot(true);
            }
            if (log.source().any(40) == 0)
                follower = Follower(); // A restart.
            if (log.source().any(3) == 0)
                log.feed(follower, static_cast<std::size_t>(1 + log.source().any(30)));
            recoveries += follower.recovering() ? 1 : 0;
            newest = std::max(newest, follower.replay().nextOffset());
            RC_ASSERT(follower.replay().nextOffset() <= log.next());
        }
        catchUp(log, follower);
        log.writeSnapshot(true);
        catchUp(log, follower);
        RC_ASSERT(!follower.recovering());
        RC_ASSERT(follower.replay().serialize() == log.truth().serialize());
    }));
    EXPECT_GT(recoveries, 100);
}

TEST(Follower, Follower_Snapshot_IsNeverCutInsideACharacter)
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
