#include "version/journal/ijournal.h"

namespace nutmegplank::version::journal {

auto parseKeyedRecord(const Record &record) -> std::optional<KeyedRecord>
{
    if (record.data.empty())
        return std::nullopt;
    const auto length = static_cast<std::uint8_t>(record.data[0]);
    if (record.data.size() < std::size_t(1) + length)
        return std::nullopt;
    return KeyedRecord { record.data.substr(1, length), record.data.substr(1 + length),
                         record.offset };
}

} // namespace nutmegplank::version::journal
