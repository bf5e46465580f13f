#pragma once

#include <mutex>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/timepoint.h"

namespace nutmegplank::load {

//! Knows which gateway to use: asks any known one, keeps the answer for as long as it says, and
//! turns away from addresses that failed. Safe for several threads.
class AddressClient
{
public:
    AddressClient(std::vector<std::string> gateways, std::uint64_t seed);

    //! A gateway to use now; asks when the kept answer has expired.
    auto pick() -> boost::asio::awaitable<std::string>;
    //! \a address gave no answer; it is avoided for a while.
    auto noteFailure(const std::string &address, base::TimePoint now) -> void;

private:
    struct Avoided
    {
        std::string address;
        base::TimePoint until {};
    };

    auto refresh() -> boost::asio::awaitable<void>;
    auto adopt(const std::string &body, base::TimePoint now) -> bool;
    auto usable(const std::vector<std::string> &addresses, base::TimePoint now)
        -> std::vector<std::string>;
    auto choose(base::TimePoint now) -> std::string;

    std::mutex m_mutex;
    std::vector<std::string> m_gateways; //!< As given at the start.
    std::vector<std::string> m_answer;   //!< As last answered, best first.
    base::TimePoint m_keepUntil {};
    std::vector<Avoided> m_avoided;
    std::mt19937_64 m_random;
};

} // namespace nutmegplank::load
