#pragma once

#include <array>
#include <cstdint>

namespace nutmegplank::process::health {

//! How much room a request needs at a server. A measure that is not known is 0.
struct RequestSize
{
    std::uint64_t contextTokens = 0; //!< An engine reads them before it generates the first token.
    std::uint64_t totalTokens = 0;   //!< The same with the most tokens that it may generate.
    std::uint64_t bodyBytes = 0;     //!< Of requests without tokens.

    auto operator==(const RequestSize &) const -> bool = default;
};

inline constexpr auto SIZE_MEASURES =
    std::array { &RequestSize::contextTokens, &RequestSize::totalTokens, &RequestSize::bodyBytes };

//! Whether \a size is at least as large as \a refused in each measure that \a refused has.
inline auto isAsLargeAs(const RequestSize &size, const RequestSize &refused) -> bool
{
    if (refused == RequestSize())
        return false;
    for (const auto measure : SIZE_MEASURES) {
        if (size.*measure < refused.*measure)
            return false;
    }
    return true;
}

} // namespace nutmegplank::process::health
