#include "request/limit/internal/adaptivelimit.h"
#include "request/limit/internal/staticlimit.h"

namespace nutmegplank::request::limit {

auto makeLimit(LimitPolicy policy, LimitOptions options, base::TimePoint now)
    -> std::unique_ptr<ILimit>
{
    if (policy == LimitPolicy::Static)
        return std::make_unique<StaticLimit>(options, now);
    return std::make_unique<AdaptiveLimit>(options, now);
}

} // namespace nutmegplank::request::limit
