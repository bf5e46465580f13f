#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <string_view>

namespace nutmegplank::request::rollout {

//! Bounds of the text of an item. An engine in trouble may go on without end.
struct TextLimit
{
    std::uint64_t events = std::numeric_limits<std::uint64_t>::max();
    std::size_t bytes = std::numeric_limits<std::size_t>::max(); //!< With the line feeds.

    auto operator==(const TextLimit &) const -> bool = default;
};

//! What bounds the text of an item.
struct TextLimitInput
{
    std::uint64_t tokens = 0;       //!< Prompt tokens plus maximum output tokens.
    std::uint64_t promptTokens = 0; //!< 0 if not known.
    std::size_t recordBytes = 0;    //!< Of a record of the log.
    std::string_view batchId;
    std::string_view itemId;
};

//! Each event holds one token at least, so that a sound engine sends no more events than the item
//! may have output tokens; engines that put several tokens into an event may also send fewer. The
//! number of events is not bounded if the output is not known. The text fits one record of the log
//! with all that is stored beside it.
auto textLimitOf(const TextLimitInput &input) -> TextLimit;

} // namespace nutmegplank::request::rollout
