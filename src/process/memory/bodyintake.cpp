#include "process/memory/bodyintake.h"

#include <algorithm>
#include <tuple>

#include "base/timepoint.h"

namespace nutmegplank::process::memory {

namespace {

constexpr auto MARKS_PER_WINDOW = std::size_t(4);

auto largePart(std::uint64_t bytes) -> std::uint64_t
{
    return bytes - static_cast<std::uint64_t>(static_cast<double>(bytes) * BodyIntake::SMALL_SHARE);
}

} // namespace

BodyIntake::BodyIntake(IntakeLimits limits)
    : m_limits(limits)
    , m_all(std::make_shared<ByteBudget>(limits.bytes))
    , m_large(std::make_shared<ByteBudget>(largePart(limits.bytes)))
{ }

auto BodyIntake::open(std::string address, std::function<void()> letGo, base::TimePoint now) -> Id
{
    const auto lock = std::lock_guard(m_mutex);
    const auto id = m_nextId++;
    auto &body = m_bodies[id];
    body.address = std::move(address);
    body.letGo = std::move(letGo);
    body.all = HeldBytes(m_all);
    body.large = HeldBytes(m_large);
    body.openedAt = now;
    return id;
}

auto BodyIntake::take(Body &body, std::uint64_t bytes) const -> bool
{
    const auto former = body.large.bytes();
    if (!body.large.resize(bytes > m_limits.smallBody ? bytes : 0))
        return false;
    if (body.all.resize(bytes))
        return true;
    // Nothing else takes from the budgets meanwhile, so what was held is there.
    body.large.resize(former);
    return false;
}

auto BodyIntake::resize(Id id, std::uint64_t bytes, base::TimePoint now) -> Room
{
    const auto lock = std::lock_guard(m_mutex);
    const auto found = m_bodies.find(id);
    if (found == m_bodies.end() || found->second.leaving)
        return Room::Refused;
    auto &body = found->second;
    const auto former = body.all.bytes();
    if (take(body, bytes)) {
        if (body.waitingSince.has_value())
            body.waited += now - *body.waitingSince;
        stopWaiting(body);
        noteSize(body, now);
        return Room::Granted;
    }
    const auto large = bytes > m_limits.smallBody;
    if (bytes > (large ? m_large : m_all)->limit())
        return Room::Refused;
    if (!body.waitingSince.has_value()) {
        if (m_waiting >= m_limits.waiting)
            return Room::Refused;
        body.waitingSince = now;
        ++m_waiting;
    }
    if (body.waited + (now - *body.waitingSince) >= m_limits.patience)
        return Room::Refused;
    makeRoom(bytes - std::min(former, bytes), large, now);
    return Room::Wait;
}

auto BodyIntake::noteSize(Body &body, base::TimePoint now) const -> void
{
    auto &history = body.history;
    if (history.empty() || now - history.back().at >= m_limits.window / MARKS_PER_WINDOW)
        history.push_back({ now, 0 });
    history.back().bytes = body.all.bytes();
    while (history.size() > 2 * MARKS_PER_WINDOW)
        history.pop_front();
}

auto BodyIntake::growthOf(const Body &body, base::TimePoint now) const -> std::optional<double>
{
    if (now - body.openedAt < m_limits.window)
        return std::nullopt;
    const auto held = body.all.bytes();
    const auto markEnd = now - m_limits.window - m_limits.window / MARKS_PER_WINDOW;
    const auto before =
        std::ranges::find_if(body.history.rbegin(), body.history.rend(),
                             [markEnd](const Mark &mark) { return mark.at <= markEnd; });
    const auto former = before == body.history.rend() ? 0 : before->bytes;
    return held <= former ? 0.0 : static_cast<double>(held - former) / static_cast<double>(held);
}

//! Lets bodies go until those on their way out hold \a bytes.
auto BodyIntake::makeRoom(std::uint64_t bytes, bool large, base::TimePoint now) -> void
{
    auto leaving = std::uint64_t(0);
    for (const auto &[id, body] : m_bodies) {
        if (body.leaving)
            leaving += large ? body.large.bytes() : body.all.bytes();
    }
    while (leaving < bytes) {
        auto *stalled = findStalled(large, now);
        if (stalled == nullptr)
            return;
        stalled->leaving = true;
        leaving += large ? stalled->large.bytes() : stalled->all.bytes();
        stalled->letGo();
    }
}

auto BodyIntake::findStalled(bool large, base::TimePoint now) -> Body *
{
    const auto bytesOf = [large](const Body &body) {
        return large ? body.large.bytes() : body.all.bytes();
    };
    auto byAddress = std::map<std::string_view, std::uint64_t>();
    for (const auto &[id, body] : m_bodies)
        byAddress[body.address] += bytesOf(body);
    Body *worst = nullptr;
    auto worstRank = std::tuple<std::uint64_t, double, std::uint64_t>();
    for (auto &[id, body] : m_bodies) {
        if (body.complete || body.leaving || body.waitingSince.has_value() || bytesOf(body) == 0)
            continue;
        const auto growth = growthOf(body, now);
        if (!growth.has_value() || *growth >= m_limits.leastGrowth)
            continue;
        const auto rank = std::tuple(byAddress[body.address], -*growth, bytesOf(body));
        if (worst == nullptr || rank > worstRank) {
            worst = &body;
            worstRank = rank;
        }
    }
    return worst;
}

auto BodyIntake::stopWaiting(Body &body) -> void
{
    if (!body.waitingSince.has_value())
        return;
    body.waitingSince.reset();
    --m_waiting;
}

auto BodyIntake::complete(Id id) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    const auto found = m_bodies.find(id);
    if (found != m_bodies.end())
        found->second.complete = true;
}

auto BodyIntake::close(Id id) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    const auto found = m_bodies.find(id);
    if (found == m_bodies.end())
        return;
    stopWaiting(found->second);
    m_bodies.erase(found);
}

auto BodyIntake::setBytes(std::uint64_t bytes) -> void
{
    m_all->setLimit(bytes);
    m_large->setLimit(largePart(bytes));
}

BodyPlace::BodyPlace(std::shared_ptr<BodyIntake> intake, std::string address,
                     std::function<void()> letGo, base::TimePoint now)
    : m_intake(std::move(intake))
{
    if (m_intake != nullptr)
        m_id = m_intake->open(std::move(address), std::move(letGo), now);
}

BodyPlace::BodyPlace(BodyPlace &&other) noexcept
    : m_intake(std::exchange(other.m_intake, nullptr))
    , m_id(other.m_id)
{ }

auto BodyPlace::operator=(BodyPlace &&other) noexcept -> BodyPlace &
{
    std::swap(m_intake, other.m_intake);
    std::swap(m_id, other.m_id);
    return *this;
}

auto BodyPlace::resize(std::uint64_t bytes, base::TimePoint now) -> Room
{
    return m_intake == nullptr ? Room::Granted : m_intake->resize(m_id, bytes, now);
}

auto BodyPlace::complete() -> void
{
    if (m_intake != nullptr)
        m_intake->complete(m_id);
}

auto BodyPlace::close() -> void
{
    const auto intake = std::exchange(m_intake, nullptr);
    if (intake != nullptr)
        intake->close(m_id);
}

} // namespace nutmegplank::process::memory
