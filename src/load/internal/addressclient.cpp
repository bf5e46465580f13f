#include "load/addressclient.h"

#include <algorithm>

#include <boost/json.hpp>

#include "load/exchange.h"
#include "process/clock/clock.h"

namespace nutmegplank::load {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr auto ASK_TIMEOUT = base::Duration(std::chrono::milliseconds(1500));
constexpr auto AVOID_TIME = base::Duration(std::chrono::seconds(3));
constexpr auto ASK_TRIES = 3;
//! Callers spread over the best addresses of an answer.
constexpr auto SPREAD = std::size_t(3);
constexpr auto HTTP_OK = 200;

} // namespace

AddressClient::AddressClient(std::vector<std::string> gateways, std::uint64_t seed)
    : m_gateways(std::move(gateways))
    , m_random(seed)
{ }

auto AddressClient::usable(const std::vector<std::string> &addresses, base::TimePoint now)
    -> std::vector<std::string>
{
    std::erase_if(m_avoided, [now](const Avoided &avoided) { return avoided.until <= now; });
    auto usable = std::vector<std::string>();
    for (const auto &address : addresses) {
        const auto matches = [&address](const Avoided &avoided) {
            return avoided.address == address;
        };
        if (std::none_of(m_avoided.begin(), m_avoided.end(), matches))
            usable.push_back(address);
    }
    return usable;
}

auto AddressClient::choose(base::TimePoint now) -> std::string
{
    const auto lock = std::lock_guard(m_mutex);
    auto candidates = usable(m_answer, now);
    if (candidates.size() > SPREAD)
        candidates.resize(SPREAD);
    if (candidates.empty())
        candidates = usable(m_gateways, now);
    if (candidates.empty())
        candidates = m_gateways;
    return candidates[m_random() % candidates.size()];
}

auto AddressClient::noteFailure(const std::string &address, base::TimePoint now) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_avoided.push_back(Avoided { address, now + AVOID_TIME });
    m_keepUntil = now;
}

auto AddressClient::adopt(const std::string &body, base::TimePoint now) -> bool
{
    auto error = json::error_code();
    const auto value = json::parse(body, error);
    if (error || !value.is_object())
        return false;
    const auto *addresses = value.get_object().if_contains("addresses");
    const auto *keep = value.get_object().if_contains("keep_ms");
    if (addresses == nullptr || !addresses->is_array() || keep == nullptr || !keep->is_number())
        return false;
    auto answer = std::vector<std::string>();
    for (const auto &entry : addresses->get_array()) {
        if (!entry.is_object() || !entry.get_object().contains("address"))
            return false;
        answer.emplace_back(entry.get_object().at("address").as_string().c_str());
    }
    const auto lock = std::lock_guard(m_mutex);
    m_answer = std::move(answer);
    m_keepUntil = now + std::chrono::milliseconds(keep->to_number<std::int64_t>());
    return true;
}

auto AddressClient::refresh() -> asio::awaitable<void>
{
    for (auto attempt = 0; attempt < ASK_TRIES; ++attempt) {
        const auto address = choose(process::clock::now());
        auto request = connection::http::Request {};
        request.target = "/v1/address";
        const auto result = co_await exchange(address, std::move(request), ASK_TIMEOUT);
        const auto now = process::clock::now();
        const auto answered =
            result.end == ExchangeEnd::Answered && result.response.status == HTTP_OK;
        if (answered && adopt(result.response.body, now))
            co_return;
        noteFailure(address, now);
    }
}

auto AddressClient::pick() -> asio::awaitable<std::string>
{
    auto expired = false;
    {
        const auto lock = std::lock_guard(m_mutex);
        expired = process::clock::now() >= m_keepUntil;
    }
    if (expired)
        co_await refresh();
    co_return choose(process::clock::now());
}

} // namespace nutmegplank::load
