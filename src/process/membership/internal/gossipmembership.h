#pragma once

#include <map>
#include <random>

#include <boost/asio.hpp>

#include "process/membership/gossipmembership.h"
#include "process/membership/internal/membertable.h"
#include "process/membership/membership.pb.h"
#include "process/snapshot/rcucell.h"

namespace nutmegplank::process::membership {

//! The shell of membership: a UDP socket and a timer around a MemberTable, all on one strand.
class GossipMembership : public IMembership
{
public:
    GossipMembership(boost::asio::io_context &context, MembershipOptions options);
    ~GossipMembership() override;

    auto open() -> absl::Status;
    auto view() const -> MemberViewPtr override { return m_view.load(); }
    auto self() const -> Member override;
    auto setProgress(OwnProgress progress) -> void override;
    auto leave() -> void override;
    auto hearsMajority(base::TimePoint now, base::Duration bound) const -> bool override;
    auto confirmsConfiguration(std::uint64_t version, base::TimePoint now,
                               base::Duration bound) const -> bool override;
    auto traffic() const -> GossipTraffic override { return { m_sentBytes, m_receivedBytes }; }
    auto onChange(std::function<void(MemberViewPtr)> handler) -> void override;

private:
    using Udp = boost::asio::ip::udp;

    //! A probe that has not been answered.
    struct Probe
    {
        std::string member;
        bool indirect = false; //!< Others have been asked as well.
    };

    auto receive() -> boost::asio::awaitable<void>;
    //! Reads which members' systems have refused a datagram, because no process has the port.
    auto readRefusals(base::TimePoint now) -> void;
    auto probeForever() -> boost::asio::awaitable<void>;
    auto handle(const gossip::Datagram &datagram, const Udp::endpoint &from, base::TimePoint now)
        -> void;
    auto answerJoin(const Udp::endpoint &to) -> void;
    auto probeRound(base::TimePoint now) -> void;
    auto settleProbes(base::TimePoint now) -> void;
    auto askOthers(const std::string &memberId) -> void;
    auto probesPerRound() const -> std::size_t;
    auto nextTarget() -> std::string;
    //! Tells a member that it is held for suspect or dead, so that it can refute that.
    auto addDoubts(const std::string &id, gossip::Datagram &datagram) const -> void;
    auto joinSeeds() -> void;
    auto send(gossip::Datagram datagram, const std::string &address) -> void;
    auto sendTo(gossip::Datagram datagram, const Udp::endpoint &endpoint) -> void;
    auto publish() -> void;

    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    MembershipOptions m_options;
    Udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    MemberTable m_table;
    snapshot::RcuCell<MemberView> m_view;
    std::map<std::uint64_t, Probe> m_probes;
    std::map<std::uint64_t, std::pair<std::uint64_t, Udp::endpoint>> m_relayed;
    std::vector<std::string> m_targets;
    std::uint64_t m_sequence = 0;
    std::mt19937_64 m_random;
    std::atomic<std::uint64_t> m_sentBytes { 0 };
    std::atomic<std::uint64_t> m_receivedBytes { 0 };
    std::mutex m_handlerMutex;
    std::vector<std::function<void(MemberViewPtr)>> m_handlers;
};

} // namespace nutmegplank::process::membership
