#include "process/membership/internal/gossipmembership.h"

#include <linux/errqueue.h>
#include <netinet/in.h>

#include <cstring>

#include "base/hash.h"
#include "base/status.h"
#include "base/text.h"
#include "process/clock/clock.h"
#include "process/logging/logging.h"
#include "process/membership/internal/majorityrule.h"
#include "process/membership/internal/memberrecord.h"

namespace nutmegplank::process::membership {

namespace {

namespace asio = boost::asio;

constexpr auto ERROR_CONTROL_BYTES = std::size_t(512);
constexpr auto USE_TUPLE = asio::as_tuple(asio::use_awaitable);
constexpr auto LARGEST_DATAGRAM = std::size_t(1400);
constexpr auto NEWS_PER_DATAGRAM = std::size_t(6);
constexpr auto LIST_PER_DATAGRAM = std::size_t(8);
constexpr auto HELPERS_PER_PROBE = std::size_t(3);
constexpr auto MOST_PROBES_PER_ROUND = std::size_t(6);
//! Rounds in which a small cluster hears every member once, so that a majority can be told.
constexpr auto ROUNDS_TO_HEAR_ALL = std::size_t(12);
//! Periods from suspicion to death.
constexpr auto SUSPECT_PERIODS = 3;
constexpr auto KEEP_DEAD = std::chrono::minutes(10);

auto toEndpoint(const std::string &text) -> std::optional<asio::ip::udp::endpoint>
{
    const auto colon = text.rfind(':');
    auto error = boost::system::error_code();
    const auto address = asio::ip::make_address(text.substr(0, colon), error);
    if (error || colon == std::string::npos)
        return std::nullopt;
    return asio::ip::udp::endpoint(address,
                                   static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
}

} // namespace

GossipMembership::GossipMembership(asio::io_context &context, MembershipOptions options)
    : m_strand(asio::make_strand(context))
    , m_options(std::move(options))
    , m_socket(m_strand)
    , m_timer(m_strand)
    , m_table(m_options.self, { m_options.period * SUSPECT_PERIODS, KEEP_DEAD })
    , m_view(m_table.view())
    , m_random(base::hash64(m_options.self.id, m_options.self.incarnation))
{ }

GossipMembership::~GossipMembership() = default;

auto GossipMembership::open() -> absl::Status
{
    const auto endpoint = toEndpoint(m_options.self.gossipAddress);
    auto error = boost::system::error_code(asio::error::invalid_argument);
    if (endpoint.has_value())
        m_socket.open(endpoint->protocol(), error);
    if (!error)
        m_socket.bind(*endpoint, error);
    // Without refusals a dead member is noticed by its silence, which takes longer.
    using ReceiveErrors = asio::detail::socket_option::boolean<IPPROTO_IP, IP_RECVERR>;
    auto ignored = boost::system::error_code();
    if (!error)
        m_socket.set_option(ReceiveErrors(true), ignored);
    if (error)
        return base::makeError(absl::StatusCode::kUnavailable, error.message(),
                               { "membership.bind", m_options.self.gossipAddress });
    asio::co_spawn(m_strand, receive(), asio::detached);
    asio::co_spawn(m_strand, probeForever(), asio::detached);
    return absl::OkStatus();
}

auto GossipMembership::self() const -> Member
{
    const auto current = view();
    const auto *found = current->find(m_options.self.id);
    return found == nullptr ? m_options.self : *found;
}

auto GossipMembership::setProgress(OwnProgress progress) -> void
{
    asio::post(m_strand, [this, progress] { m_table.setProgress(progress); });
}

auto GossipMembership::leave() -> void
{
    asio::post(m_strand, [this] {
        m_table.leave();
        publish();
        // All are told at once: callers and work must be led elsewhere before this process ends.
        for (const auto &id : m_table.probeTargets()) {
            auto ping = gossip::Datagram();
            ping.set_kind(gossip::DATAGRAM_PING);
            send(std::move(ping), m_table.find(id)->gossipAddress);
        }
    });
}

auto GossipMembership::hearsMajority(base::TimePoint now, base::Duration bound) const -> bool
{
    return membership::hearsMajority(*view(), m_options.self.id, now, bound);
}

auto GossipMembership::confirmsConfiguration(std::uint64_t version, base::TimePoint now,
                                             base::Duration bound) const -> bool
{
    return membership::confirmsConfiguration(*view(), m_options.self.id, version, now, bound);
}

auto GossipMembership::onChange(std::function<void(MemberViewPtr)> handler) -> void
{
    const auto lock = std::lock_guard(m_handlerMutex);
    m_handlers.push_back(std::move(handler));
}

auto GossipMembership::publish() -> void
{
    const auto next = m_table.view();
    m_view.store(next);
    auto handlers = std::vector<std::function<void(MemberViewPtr)>>();
    {
        const auto lock = std::lock_guard(m_handlerMutex);
        handlers = m_handlers;
    }
    for (const auto &handler : handlers)
        handler(next);
}

auto GossipMembership::receive() -> asio::awaitable<void>
{
    auto buffer = std::vector<char>(std::size_t(64) * 1024);
    while (true) {
        auto from = Udp::endpoint();
        auto [error, size] =
            co_await m_socket.async_receive_from(asio::buffer(buffer), from, USE_TUPLE);
        if (error == asio::error::operation_aborted)
            co_return;
        if (error)
            readRefusals(clock::now());
        m_receivedBytes += size;
        auto datagram = gossip::Datagram();
        if (!error && datagram.ParseFromArray(buffer.data(), static_cast<int>(size)))
            handle(datagram, from, clock::now());
    }
}

auto GossipMembership::readRefusals(base::TimePoint now) -> void
{
    auto changed = false;
    while (true) {
        auto address = sockaddr_in();
        auto control = std::array<char, ERROR_CONTROL_BYTES>();
        auto message = msghdr();
        message.msg_name = &address;
        message.msg_namelen = sizeof(address);
        message.msg_control = control.data();
        message.msg_controllen = control.size();
        if (::recvmsg(m_socket.native_handle(), &message, MSG_ERRQUEUE | MSG_DONTWAIT) < 0)
            break;
        const auto *header = CMSG_FIRSTHDR(&message);
        if (header == nullptr || header->cmsg_level != IPPROTO_IP
            || header->cmsg_type != IP_RECVERR)
            continue;
        auto error = sock_extended_err();
        std::memcpy(&error, CMSG_DATA(header), sizeof(error));
        if (error.ee_errno != ECONNREFUSED)
            continue;
        const auto host = asio::ip::address_v4(ntohl(address.sin_addr.s_addr)).to_string();
        changed =
            m_table.confirmGone(base::concat(host, ":", ntohs(address.sin_port)), now) || changed;
    }
    if (changed)
        publish();
}

auto GossipMembership::handle(const gossip::Datagram &datagram, const Udp::endpoint &from,
                              base::TimePoint now) -> void
{
    auto changed = m_table.hear(fromRecord(datagram.sender()), now);
    for (const auto &update : datagram.updates())
        changed = m_table.learn(fromRecord(update), now) || changed;
    if (datagram.kind() == gossip::DATAGRAM_PING) {
        auto ack = gossip::Datagram();
        ack.set_kind(gossip::DATAGRAM_ACK);
        ack.set_sequence(datagram.sequence());
        addDoubts(datagram.sender().id(), ack);
        sendTo(std::move(ack), from);
    }
    if (datagram.kind() == gossip::DATAGRAM_PING_REQUEST) {
        auto ping = gossip::Datagram();
        ping.set_kind(gossip::DATAGRAM_PING);
        ping.set_sequence(++m_sequence);
        m_relayed[m_sequence] = { datagram.sequence(), from };
        send(std::move(ping), datagram.target());
    }
    if (datagram.kind() == gossip::DATAGRAM_ACK) {
        m_probes.erase(datagram.sequence());
        if (const auto relayed = m_relayed.extract(datagram.sequence())) {
            auto ack = gossip::Datagram();
            ack.set_kind(gossip::DATAGRAM_ACK);
            ack.set_sequence(relayed.mapped().first);
            sendTo(std::move(ack), relayed.mapped().second);
        }
    }
    if (datagram.kind() == gossip::DATAGRAM_JOIN)
        answerJoin(from);
    if (changed)
        publish();
}

auto GossipMembership::answerJoin(const Udp::endpoint &to) -> void
{
    auto list = gossip::Datagram();
    list.set_kind(gossip::DATAGRAM_LIST);
    for (const auto &member : m_table.all()) {
        toRecord(member, *list.add_updates());
        if (list.updates_size() == static_cast<int>(LIST_PER_DATAGRAM)) {
            sendTo(list, to);
            list.clear_updates();
        }
    }
    sendTo(std::move(list), to);
}

auto GossipMembership::probeForever() -> asio::awaitable<void>
{
    joinSeeds();
    while (true) {
        m_timer.expires_after(m_options.period);
        auto [error] = co_await m_timer.async_wait(USE_TUPLE);
        if (error)
            co_return;
        const auto now = clock::now();
        settleProbes(now);
        m_table.expire(now);
        probeRound(now);
        // Published each round also without news, for the times at which members were last heard.
        publish();
    }
}

auto GossipMembership::settleProbes(base::TimePoint now) -> void
{
    auto open = std::map<std::uint64_t, Probe>();
    for (auto &[sequence, probe] : m_probes) {
        if (probe.indirect) {
            m_table.suspect(probe.member, now);
            continue;
        }
        askOthers(probe.member);
        open.emplace(m_sequence, Probe { probe.member, true });
    }
    m_probes = std::move(open);
    constexpr auto MOST_RELAYED = std::size_t(1024);
    if (m_relayed.size() > MOST_RELAYED)
        m_relayed.clear();
}

auto GossipMembership::askOthers(const std::string &memberId) -> void
{
    ++m_sequence;
    const auto *target = m_table.find(memberId);
    auto helpers = m_table.probeTargets();
    std::erase(helpers, memberId);
    std::shuffle(helpers.begin(), helpers.end(), m_random);
    helpers.resize(std::min(helpers.size(), HELPERS_PER_PROBE));
    if (target == nullptr)
        return;
    auto direct = gossip::Datagram();
    direct.set_kind(gossip::DATAGRAM_PING);
    direct.set_sequence(m_sequence);
    send(direct, target->gossipAddress);
    for (const auto &helper : helpers) {
        auto request = gossip::Datagram();
        request.set_kind(gossip::DATAGRAM_PING_REQUEST);
        request.set_sequence(m_sequence);
        request.set_target(target->gossipAddress);
        send(std::move(request), m_table.find(helper)->gossipAddress);
    }
}

auto GossipMembership::probesPerRound() const -> std::size_t
{
    const auto members = m_table.probeTargets().size();
    const auto wanted = (members + ROUNDS_TO_HEAR_ALL - 1) / ROUNDS_TO_HEAR_ALL;
    return std::clamp(wanted, std::size_t(1), MOST_PROBES_PER_ROUND);
}

auto GossipMembership::nextTarget() -> std::string
{
    if (m_targets.empty()) {
        m_targets = m_table.probeTargets();
        std::shuffle(m_targets.begin(), m_targets.end(), m_random);
    }
    if (m_targets.empty())
        return {};
    auto target = std::move(m_targets.back());
    m_targets.pop_back();
    return target;
}

auto GossipMembership::probeRound(base::TimePoint) -> void
{
    const auto count = probesPerRound();
    for (auto index = std::size_t(0); index < count; ++index) {
        const auto target = nextTarget();
        const auto *member = m_table.find(target);
        if (member == nullptr)
            continue;
        auto ping = gossip::Datagram();
        ping.set_kind(gossip::DATAGRAM_PING);
        ping.set_sequence(++m_sequence);
        addDoubts(target, ping);
        if (member->state != MemberState::Dead)
            m_probes[m_sequence] = Probe { target, false };
        send(std::move(ping), member->gossipAddress);
    }
    // Seeds are asked again for as long as nobody is known, and now and then so that two halves
    // meet again.
    constexpr auto REJOIN_EVERY = 20;
    if (m_table.probeTargets().empty() || m_random() % REJOIN_EVERY == 0)
        joinSeeds();
}

auto GossipMembership::addDoubts(const std::string &id, gossip::Datagram &datagram) const -> void
{
    const auto *member = m_table.find(id);
    if (member == nullptr)
        return;
    if (member->state == MemberState::Suspect || member->state == MemberState::Dead)
        toRecord(*member, *datagram.add_updates());
}

auto GossipMembership::joinSeeds() -> void
{
    for (const auto &seed : m_options.seeds) {
        if (seed == m_options.self.gossipAddress)
            continue;
        auto join = gossip::Datagram();
        join.set_kind(gossip::DATAGRAM_JOIN);
        send(std::move(join), seed);
    }
}

auto GossipMembership::send(gossip::Datagram datagram, const std::string &address) -> void
{
    const auto endpoint = toEndpoint(address);
    if (endpoint.has_value())
        sendTo(std::move(datagram), *endpoint);
}

auto GossipMembership::sendTo(gossip::Datagram datagram, const Udp::endpoint &endpoint) -> void
{
    toRecord(m_table.self(), *datagram.mutable_sender());
    if (datagram.kind() != gossip::DATAGRAM_LIST) {
        for (const auto &member : m_table.takeNews(NEWS_PER_DATAGRAM))
            toRecord(member, *datagram.add_updates());
    }
    while (datagram.ByteSizeLong() > LARGEST_DATAGRAM && datagram.updates_size() > 0
           && datagram.kind() != gossip::DATAGRAM_LIST)
        datagram.mutable_updates()->RemoveLast();
    auto ignored = boost::system::error_code();
    const auto text = datagram.SerializeAsString();
    m_sentBytes += text.size();
    m_socket.send_to(asio::buffer(text), endpoint, 0, ignored);
    // The error is of an earlier datagram; this one was not sent.
    if (ignored == asio::error::connection_refused)
        m_socket.send_to(asio::buffer(text), endpoint, 0, ignored);
}

auto makeGossipMembership(asio::io_context &context, MembershipOptions options)
    -> absl::StatusOr<std::unique_ptr<IMembership>>
{
    auto membership = std::make_unique<GossipMembership>(context, std::move(options));
    const auto opened = membership->open();
    if (!opened.ok())
        return opened;
    return membership;
}

} // namespace nutmegplank::process::membership
