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
 * Exchanges membership messages with the other nodes and publishes which of them
 * are alive, which configuration revision each has in force, and the reclaim
 * notices that they received.
 */
class MembershipController : public StateSource {
public:
    MembershipController(EventLoop&, const NodeSettings&, Blackboard&, const EventLog&, Metrics&);

    auto begin() -> std::error_code;

    /** Announces to the peers that this node is leaving by a planned stop. */
    auto leave() -> void;

    /** Announces to the peers that this node has \a revision of the configuration in force. */
    auto setConfigurationRevision(std::uint64_t revision) -> void;

    /** Announces to the peers the \a notices that this node received from the cloud. */
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
    auto reportCounts(EventLoop::TimePoint now) -> void;
    auto logConfirmedRevision() -> void;

    const EventLog& log;
    Metrics& metrics;
    SectionWriter<Peers> peers;
    SectionWriter<ReclaimNotices> notices;
    Address address;
    PeerCodec codec;
    PeerMembership membership;
    UdpSocket socket;
    Timer timer;
    std::uint64_t publishedVersion = 0; ///< Version of the membership that the blackboard holds.
    std::uint64_t confirmedRevision = 0; ///< Last configuration revision logged as in force on all live nodes.
    std::uint64_t loggedPauses = 0;
    std::uint64_t loggedRefusals = 0;
    EventLoop::TimePoint nextCountsReport; ///< When the counts of refused messages are next updated.
};

} // namespace Primrosefork
