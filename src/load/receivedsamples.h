#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

namespace nutmegplank::load {

//! Tokens [first, first + count) of a sample are said to come from this weight version.
struct StatedRange
{
    std::uint64_t weightVersion = 0;
    std::uint32_t first = 0;
    std::uint32_t count = 0;
};

//! A sample as the trainer got it.
struct ReceivedSample
{
    std::string slot;
    std::string sampleId;
    std::string text;
    std::vector<StatedRange> ranges;
};

//! What was asked for in one slot.
struct ExpectedSlot
{
    std::string prompt;
    std::uint64_t seed = 0;
    std::uint32_t maxTokens = 0;
};

//! Verdict on the samples of one step.
struct SampleCounts
{
    std::uint64_t delivered = 0;
    std::uint64_t tokens = 0;     //!< Of delivered samples.
    std::uint64_t repeated = 0;   //!< Came again before they were acknowledged, equal in all.
    std::uint64_t duplicated = 0; //!< Came again though acknowledged, or with other content.
    std::uint64_t mislabelled = 0;
    std::uint64_t tooOld = 0;
    std::uint64_t stalenessSum = 0;
    std::uint64_t stalenessWorst = 0;

    auto add(const SampleCounts &other) -> void;
};

//! Reads one element of a pull's answer; nullopt when it has not the agreed form.
auto readSample(const boost::json::value &value) -> std::optional<ReceivedSample>;

//! Whether the text is what the stated versions make of the prompt, token by token.
auto isTruthful(const ReceivedSample &sample, const ExpectedSlot &expected) -> bool;

//! Keeps what a trainer has received in one step and checks each sample.
class ReceivedSamples
{
public:
    explicit ReceivedSamples(std::map<std::string, ExpectedSlot> expected);

    //! Takes a sample; \a statedVersion is the trainer's version in the pull that brought it.
    auto take(const ReceivedSample &sample, std::uint64_t statedVersion, std::uint64_t maxStaleness)
        -> void;
    //! All that were received up to now count as acknowledged.
    auto noteAcknowledged(const std::vector<std::string> &slots) -> void;

    auto counts() const -> const SampleCounts & { return m_counts; }
    auto heldSlots() const -> std::vector<std::string>;
    //! Tokens of all slots together.
    auto expectedTokens() const -> std::uint64_t;
    auto isComplete() const -> bool { return m_held.size() == m_expected.size(); }

private:
    struct Held
    {
        std::string sampleId;
        std::string text;
        bool acknowledged = false;
    };

    auto takeAgain(const ReceivedSample &sample, const Held &held) -> void;

    std::map<std::string, ExpectedSlot> m_expected;
    std::map<std::string, Held> m_held;
    SampleCounts m_counts;
};

} // namespace nutmegplank::load
