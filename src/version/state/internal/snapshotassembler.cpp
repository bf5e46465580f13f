#include "version/state/internal/snapshotassembler.h"

#include <boost/json.hpp>

#include "version/state/internal/recordreader.h"

namespace nutmegplank::version::state {

namespace {

constexpr auto MAX_PENDING_SNAPSHOTS = std::size_t(2);

auto isUtf8ContinuationByte(char byte) -> bool
{
    constexpr auto CONTINUATION_MASK = 0xC0U;
    constexpr auto CONTINUATION = 0x80U;
    return (static_cast<unsigned char>(byte) & CONTINUATION_MASK) == CONTINUATION;
}

} // namespace

auto splitSnapshot(const std::string &text, std::size_t partBytes) -> std::vector<std::string>
{
    auto parts = std::vector<std::string>();
    auto begin = std::size_t(0);
    while (begin < text.size()) {
        auto end = std::min(begin + partBytes, text.size());
        while (end < text.size() && end > begin + 1 && isUtf8ContinuationByte(text[end]))
            --end;
        parts.push_back(text.substr(begin, end - begin));
        begin = end;
    }
    return parts;
}

auto SnapshotAssembler::add(const boost::json::object &body) -> std::optional<AssembledSnapshot>
{
    auto reader = recordReader(body);
    const auto id = reader.string("snapshot_id");
    const auto index = readNumber(reader, "index");
    const auto count = readNumber(reader, "count");
    const auto atOffset = readNumber(reader, "at_offset");
    auto part = reader.string("part", "");
    if (!reader.finish().ok() || index >= count)
        return std::nullopt;
    auto &pending = m_pending[id];
    pending.atOffset = atOffset;
    pending.count = count;
    pending.parts[index] = std::move(part);
    if (pending.parts.size() < count) {
        dropOldestIfFull();
        return std::nullopt;
    }
    auto complete = AssembledSnapshot { atOffset, {} };
    for (const auto &[number, text] : pending.parts)
        complete.text += text;
    m_pending.erase(id);
    return complete;
}

auto SnapshotAssembler::dropOldestIfFull() -> void
{
    if (m_pending.size() <= MAX_PENDING_SNAPSHOTS)
        return;
    const auto oldest = std::min_element(m_pending.begin(), m_pending.end(),
                                         [](const auto &left, const auto &right) {
                                             return left.second.atOffset < right.second.atOffset;
                                         });
    m_pending.erase(oldest);
}

} // namespace nutmegplank::version::state
