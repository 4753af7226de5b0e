#pragma once

#include "blackboard.h"
#include "eventloop.h"
#include "peercodec.h"
#include "peermembership.h"
#include "statesource.h"
#include "udpsocket.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <system_error>
#include <vector>

namespace Primrosefork {

class EventLog;
class Metrics;
struct NodeSettings;

/**
 * Keeps in touch with the other nodes: which are alive, which configuration
 * each has in force, and the reclaim notices that they saw.
 */
class MembershipController : public StateSource {
public:
    MembershipController(EventLoop&, const NodeSettings&, Blackboard&, const EventLog&, Metrics&);

    auto begin() -> std::error_code;

    /** Tells the peers that this node goes away by plan. */
    auto leave() -> void;

    /** Tells the peers which revision of the configuration this node has in force. */
    auto setConfigurationRevision(std::uint64_t revision) -> void;

    /** Spreads the \a notices that the cloud gave this node. */
    auto announceNotices(const ReclaimNotices& notices) -> void;

    /** Returns the newest configuration revision that any node is known to have in force. */
    [[nodiscard]] auto newestRevision() const -> std::uint64_t { return this->membership.newestRevision(); }

    /** Returns the ids of the live nodes that are not known to have newestRevision() in force. */
    [[nodiscard]] auto unconfirmedNodes() const -> std::vector<std::string>;

    [[nodiscard]] auto stateName() const -> std::string override { return "peers"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto tick() -> void;
    auto received(const Address& sender, std::span<const std::uint8_t> datagram) -> void;
    auto send(const OutgoingMessages&) -> void;
    auto publish() -> void;
    auto logChanges(const Peers& before, const Peers& after) const -> void;
    auto logState(const Peer&) const -> void;
    auto noteCounts(EventLoop::TimePoint now) -> void;
    auto noteConfirmations() -> void;

    const EventLog& log;
    Metrics& metrics;
    SectionWriter<Peers> peers;
    SectionWriter<ReclaimNotices> notices;
    Address address;
    PeerCodec codec;
    PeerMembership membership;
    UdpSocket socket;
    Timer timer;
    std::uint64_t publishedVersion = 0;
    std::uint64_t confirmedRevision = 0;
    std::uint64_t loggedPauses = 0;
    std::uint64_t loggedRefusals = 0;
    EventLoop::TimePoint nextCounts;
};

} // namespace Primrosefork
