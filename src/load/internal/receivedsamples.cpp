#include "load/receivedsamples.h"

#include <algorithm>

#include <boost/json.hpp>

#include "load/tokens.h"

namespace nutmegplank::load {

namespace {

namespace json = boost::json;

auto textOf(const json::object &object, std::string_view field) -> std::optional<std::string>
{
    const auto *value = object.if_contains({ field.data(), field.size() });
    if (value == nullptr || !value->is_string())
        return std::nullopt;
    return std::string(value->get_string().c_str(), value->get_string().size());
}

auto numberOf(const json::object &object, std::string_view field) -> std::optional<std::uint64_t>
{
    const auto *value = object.if_contains({ field.data(), field.size() });
    if (value == nullptr || !(value->is_int64() || value->is_uint64()))
        return std::nullopt;
    auto error = json::error_code();
    const auto number = value->to_number<std::uint64_t>(error);
    return error ? std::nullopt : std::optional(number);
}

auto readRange(const json::value &value) -> std::optional<StatedRange>
{
    if (!value.is_object())
        return std::nullopt;
    const auto &object = value.get_object();
    const auto version = numberOf(object, "weight_version");
    const auto first = numberOf(object, "first_token");
    const auto count = numberOf(object, "token_count");
    if (!version || !first || !count)
        return std::nullopt;
    return StatedRange { *version, static_cast<std::uint32_t>(*first),
                         static_cast<std::uint32_t>(*count) };
}

} // namespace

auto SampleCounts::add(const SampleCounts &other) -> void
{
    delivered += other.delivered;
    tokens += other.tokens;
    repeated += other.repeated;
    duplicated += other.duplicated;
    mislabelled += other.mislabelled;
    tooOld += other.tooOld;
    stalenessSum += other.stalenessSum;
    stalenessWorst = std::max(stalenessWorst, other.stalenessWorst);
}

auto readSample(const json::value &value) -> std::optional<ReceivedSample>
{
    if (!value.is_object())
        return std::nullopt;
    const auto &object = value.get_object();
    const auto slot = textOf(object, "slot");
    const auto sampleId = textOf(object, "sample_id");
    const auto text = textOf(object, "text");
    const auto *ranges = object.if_contains("ranges");
    if (!slot || !sampleId || !text || ranges == nullptr || !ranges->is_array())
        return std::nullopt;
    auto sample = ReceivedSample { *slot, *sampleId, *text, {} };
    for (const auto &entry : ranges->get_array()) {
        const auto range = readRange(entry);
        if (!range)
            return std::nullopt;
        sample.ranges.push_back(*range);
    }
    return sample;
}

auto isTruthful(const ReceivedSample &sample, const ExpectedSlot &expected) -> bool
{
    auto text = std::string();
    auto next = std::uint32_t(0);
    for (const auto &range : sample.ranges) {
        if (range.first != next || range.count > expected.maxTokens)
            return false;
        for (; next < range.first + range.count; ++next)
            text += tokenAt(expected.prompt, expected.seed, next, range.weightVersion);
    }
    return next == expected.maxTokens && text == sample.text;
}

ReceivedSamples::ReceivedSamples(std::map<std::string, ExpectedSlot> expected)
    : m_expected(std::move(expected))
{ }

auto ReceivedSamples::takeAgain(const ReceivedSample &sample, const Held &held) -> void
{
    const auto same = sample.sampleId == held.sampleId && sample.text == held.text;
    ++(held.acknowledged || !same ? m_counts.duplicated : m_counts.repeated);
}

auto ReceivedSamples::take(const ReceivedSample &sample, std::uint64_t statedVersion,
                           std::uint64_t maxStaleness) -> void
{
    const auto held = m_held.find(sample.slot);
    if (held != m_held.end())
        return takeAgain(sample, held->second);
    const auto expected = m_expected.find(sample.slot);
    if (expected == m_expected.end() || !isTruthful(sample, expected->second))
        ++m_counts.mislabelled;
    if (expected == m_expected.end())
        return;
    auto oldest = std::numeric_limits<std::uint64_t>::max();
    auto newest = statedVersion;
    for (const auto &range : sample.ranges) {
        oldest = std::min(oldest, range.weightVersion);
        newest = std::max(newest, range.weightVersion);
    }
    const auto staleness = newest - std::min(newest, oldest);
    m_counts.stalenessSum += staleness;
    m_counts.stalenessWorst = std::max(m_counts.stalenessWorst, staleness);
    if (staleness > maxStaleness)
        ++m_counts.tooOld;
    ++m_counts.delivered;
    m_counts.tokens += expected->second.maxTokens;
    m_held[sample.slot] = Held { sample.sampleId, sample.text, false };
}

auto ReceivedSamples::noteAcknowledged(const std::vector<std::string> &slots) -> void
{
    for (const auto &slot : slots)
        m_held[slot].acknowledged = true;
}

auto ReceivedSamples::expectedTokens() const -> std::uint64_t
{
    auto tokens = std::uint64_t(0);
    for (const auto &[slot, expected] : m_expected)
        tokens += expected.maxTokens;
    return tokens;
}

auto ReceivedSamples::heldSlots() const -> std::vector<std::string>
{
    auto slots = std::vector<std::string>();
    for (const auto &[slot, held] : m_held)
        slots.push_back(slot);
    return slots;
}

} // namespace nutmegplank::load
