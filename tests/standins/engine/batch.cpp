#include "engine/batch.h"

#include "standins/common/tokens.h"

namespace nutmegplank::standins {

auto Batch::add(StreamPtr stream) -> void
{
    const auto before = std::find_if(m_streams.begin(), m_streams.end(), [&](const auto &other) {
        return other->priority > stream->priority;
    });
    m_streams.insert(before, std::move(stream));
}

auto Batch::step(std::uint64_t version, base::TimePoint now) -> void
{
    auto carried = std::size_t(0);
    for (auto at = m_streams.begin(); at != m_streams.end() && carried < m_width;) {
        auto &stream = **at;
        if (now < stream.readyAt) {
            ++at;
            continue;
        }
        ++carried;
        if (stream.next < stream.last) {
            auto token = tokenAt(stream.prompt, stream.seed, stream.next, version);
            stream.text += token;
            stream.events.push_back({ stream.next, std::move(token), version });
            ++stream.next;
            ++m_tokens;
        }
        if (stream.next < stream.last) {
            stream.changed.cancel();
            ++at;
            continue;
        }
        finish(stream, StreamEnd::Whole);
        at = m_streams.erase(at);
    }
}

auto Batch::finish(Stream &stream, StreamEnd end) -> void
{
    stream.end = end;
    stream.changed.cancel();
}

auto Batch::cancel(const std::string &id) -> bool
{
    return m_streams.remove_if([&](const auto &stream) {
        if (stream->id != id)
            return false;
        finish(*stream, StreamEnd::Cancelled);
        return true;
    }) > 0;
}

auto Batch::crash() -> void
{
    for (const auto &stream : m_streams)
        finish(*stream, StreamEnd::Crashed);
    m_streams.clear();
}

auto Batch::find(const std::string &id) const -> StreamPtr
{
    for (const auto &stream : m_streams) {
        if (stream->id == id)
            return stream;
    }
    return nullptr;
}

} // namespace nutmegplank::standins
