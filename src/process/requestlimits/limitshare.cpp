#include "process/requestlimits/limitshare.h"

#include <algorithm>
#include <tuple>

#include "base/hash.h"

namespace nutmegplank::process::requestlimits {

namespace {

//! Share of the limit that is divided equally, so that machines can begin to send.
constexpr auto EQUAL_SHARE = 0.15;
//! Number of machines that may send to a server: USERS_PER_RATE for each request per second of its
//! limit, and MIN_USERS. Idle machines may send one request each at the same moment, which must
//! stay within the tolerance that servers allow beyond their limit.
constexpr auto USERS_PER_RATE = 1.5;
constexpr auto MIN_USERS = 4.0;

} // namespace

auto limitShare(std::uint64_t server, double perSecond, std::vector<LimitUser> users,
                const std::string &machine) -> double
{
    const auto maxUsers = static_cast<std::size_t>(USERS_PER_RATE * perSecond + MIN_USERS);
    const auto rank = [server](const LimitUser &user) {
        return std::tuple(-user.demand, base::hash64(user.machine, server), user.machine);
    };
    std::ranges::sort(users, {}, rank);
    if (users.size() > maxUsers)
        users.resize(maxUsers);
    const auto own = std::ranges::find(users, machine, &LimitUser::machine);
    if (own == users.end())
        return 0;
    auto totalDemand = 0.0;
    for (const auto &user : users)
        totalDemand += user.demand;
    const auto equalShare = 1.0 / static_cast<double>(users.size());
    if (totalDemand <= 0)
        return equalShare;
    return EQUAL_SHARE * equalShare + (1 - EQUAL_SHARE) * own->demand / totalDemand;
}

} // namespace nutmegplank::process::requestlimits
