#pragma once

#include "backendserver.h"
#include "peermessage.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Primrosefork {

/** Time limits and counts of failure detection and gossip; docs/decisions/050-membership.md has the reasoning. */
struct MembershipOptions {
    std::chrono::milliseconds tick { 100 }; ///< Time between two calls of tick().
    std::chrono::milliseconds probePeriod { 250 }; ///< Time between two probes started by this node.
    std::chrono::milliseconds directTimeout { 250 }; ///< Time without an acknowledgement after which other peers are asked to ping the target.
    std::chrono::milliseconds probeTimeout { 800 }; ///< Time without an acknowledgement after which the target is suspected.
    std::chrono::milliseconds suspicionTime { 1'900 }; ///< Time that a suspect has to refute before it is declared dead.
    std::chrono::milliseconds pauseThreshold { 400 }; ///< Gap between two ticks above which this node itself is considered to have been paused.
    std::chrono::milliseconds gossipPeriod { 200 }; ///< Time between two rounds of gossip.
    std::chrono::milliseconds freshGossipPeriod { 50 }; ///< Time between two rounds of gossip when there are updates newer than the last round.
    std::chrono::milliseconds rejoinPeriod { 2'000 }; ///< Time between two attempts to contact dead peers and seeds; a quarter of it when no peer is live.
    std::chrono::milliseconds deadRetention { std::chrono::hours(2) }; ///< Time for which the record of a dead peer is kept.
    std::chrono::milliseconds leftRetention { std::chrono::minutes(10) }; ///< Time for which the record of a peer that left is kept.
    std::chrono::milliseconds syncDelay { 4'000 }; ///< Time for which all received views may differ from this node's before a full synchronization is requested.
    std::size_t indirectProbes = 3; ///< Number of peers asked to ping a target that does not answer.
    std::size_t gossipFanOut = 3; ///< Number of recipients of one round of gossip.
    std::size_t recordsPerProbe = 4;
    std::size_t recordsPerGossip = 12;
    std::int64_t gossipBytesPerSecond = 2'000; ///< Rate limit of gossip; probes and their acknowledgements are not counted.
    std::int64_t gossipBurstBytes = 20'000; ///< Upper bound of the unused gossip budget.
};

/** A message with the address of its recipient. */
struct OutgoingMessage {
    Address recipient;
    PeerMessage message;
};

using OutgoingMessages = std::vector<OutgoingMessage>;

/** Counters of membership since the start of the node. */
struct MembershipCounts {
    std::uint64_t suspicions = 0; ///< Suspicions raised by this node.
    std::uint64_t refutations = 0; ///< Times that this node raised its incarnation to override a record about itself.
    std::uint64_t deaths = 0; ///< Changes of a peer to dead, declared by this node or received.
    std::uint64_t pauses = 0; ///< Detected pauses of this node itself.
};

/**
 * Maintains the membership view of one node by the SWIM protocol: pings,
 * indirect pings through other peers, suspicions that the suspect can refute
 * with a higher incarnation, and updates that are piggybacked on the messages.
 *
 * The class neither sends messages nor reads a clock: the owner passes the time,
 * calls tick() regularly and sends the messages that the calls return.
 */
class PeerMembership {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** \a self has the initial incarnation, which must increase with each start of the node. */
    PeerMembership(Peer self, std::vector<Address> seeds, const MembershipOptions&, std::uint32_t randomSeed);

    [[nodiscard]] auto tick(TimePoint now) -> OutgoingMessages;
    [[nodiscard]] auto receive(const Address& sender, const PeerMessage&, TimePoint now) -> OutgoingMessages;

    /** Marks this node as left and returns the messages that announce it to peers. */
    [[nodiscard]] auto leave(TimePoint now) -> OutgoingMessages;

    /** Sets the configuration revision that this node has in force. */
    auto setConfigurationRevision(std::uint64_t revision, TimePoint now) -> void;

    /** Announces to the peers that the instance \a instanceId will be reclaimed at \a deadline. */
    auto announceNotice(const std::string& instanceId, TimePoint deadline, TimePoint now) -> void;

    /** Returns all known peers except this node itself, including dead peers and peers that left. */
    [[nodiscard]] auto peers() const -> const Peers& { return this->knownPeers; }

    [[nodiscard]] auto self() const -> const Peer& { return this->ownRecord; }
    [[nodiscard]] auto notices() const -> const ReclaimNotices& { return this->knownNotices; }

    /** Returns the newest configuration revision that any node is known to have in force. */
    [[nodiscard]] auto newestRevision() const -> std::uint64_t { return this->newestKnownRevision; }

    [[nodiscard]] auto counts() const -> const MembershipCounts& { return this->totals; }

    /** Returns a number that increases with each change of peers() or notices(). */
    [[nodiscard]] auto version() const -> std::uint64_t { return this->changeCount; }

private:
    struct Probe {
        std::string target;
        TimePoint sent;
        bool isIndirect = false;
    };

    struct Relay {
        Address requester;
        std::uint32_t requesterProbe = 0;
        std::string target;
        TimePoint expiry;
    };

    struct Timing {
        TimePoint suspectSince;
        TimePoint livenessChange; ///< When the peer last died, left or became live again.
    };

    auto detectOwnPause(TimePoint now) -> void;
    auto probeNext(TimePoint now, OutgoingMessages&) -> void;
    auto advanceProbes(TimePoint now, OutgoingMessages&) -> void;
    auto sendIndirectPings(const std::string& target, std::uint32_t probe, OutgoingMessages&) -> void;
    auto suspect(const std::string& id, TimePoint now, OutgoingMessages&) -> void;
    auto expireSuspicions(TimePoint now) -> void;
    auto evictExpired(TimePoint now) -> void;
    auto gossip(TimePoint now, OutgoingMessages&) -> void;
    auto rejoin(TimePoint now, OutgoingMessages&) -> void;
    auto receivePing(const Address& sender, const PeerMessage&, OutgoingMessages&) -> void;
    auto receiveAck(const PeerMessage&, OutgoingMessages&) -> void;
    auto receivePingRequest(const Address& sender, const PeerMessage&, TimePoint now, OutgoingMessages&) -> void;
    auto sendSync(const Address& recipient, OutgoingMessages&) -> void;
    auto requestSync(const Address& sender, const PeerMessage&, TimePoint now, OutgoingMessages&) -> void;
    auto notifyDeadSender(const Address& sender, const PeerMessage&, OutgoingMessages&) -> void;
    auto dispatch(const Address& sender, const PeerMessage&, TimePoint now, OutgoingMessages&) -> void;
    auto mergeMessage(const PeerMessage&, TimePoint now, OutgoingMessages&) -> void;
    auto mergeRecord(const Peer& record, TimePoint now) -> void;
    auto addPeer(const Peer& record, TimePoint now) -> void;
    auto countRedundantUpdate(const std::string& id) -> void;
    [[nodiscard]] auto isContradictedBy(const PeerMessage&) const -> bool;
    auto mergeOwnRecord(const Peer& record) -> void;
    auto mergeRevisions(const PeerMessage&, TimePoint now) -> void;
    auto raiseRevision(Peer&, std::uint64_t revision) -> void;
    auto mergeNotice(const PeerNotice&, TimePoint now) -> void;
    auto setNewestRevision(std::uint64_t revision, TimePoint now) -> void;
    auto changeState(Peer&, PeerState, TimePoint now) -> void;
    auto enqueueUpdate(const std::string& id) -> void;
    [[nodiscard]] auto nextTarget() -> Peer*;
    auto shuffleOrder() -> void;
    auto refillGossipBudget(TimePoint now) -> void;
    [[nodiscard]] auto rejoinAddresses() const -> std::vector<Address>;
    [[nodiscard]] auto sortedLivePeers() -> std::vector<Peer*>;
    [[nodiscard]] auto isProbed(const std::string& id) const -> bool;
    [[nodiscard]] auto makeMessage(PeerMessageKind, TimePoint now) -> PeerMessage;
    auto addPendingUpdates(PeerMessage&, std::size_t limit, TimePoint now) -> void;
    auto addPendingNotices(PeerMessage&, TimePoint now) -> void;
    auto addBackgroundRecord(PeerMessage&) -> void;
    [[nodiscard]] auto confirmations() -> std::vector<std::uint8_t>;
    [[nodiscard]] auto recordOf(const std::string& id) const -> const Peer*;
    [[nodiscard]] auto randomAlivePeers(std::size_t count, const std::string& except) -> std::vector<const Peer*>;
    [[nodiscard]] auto transmitLimit() const -> int;

    Peer ownRecord;
    std::vector<Address> seeds;
    MembershipOptions options;
    std::minstd_rand generator;
    Peers knownPeers;
    std::map<std::string, Timing> timings;
    std::map<std::string, int> pendingUpdates; ///< Remaining transmissions of each update, by the id of the peer it is about.
    std::vector<std::string> probeOrder;
    std::size_t nextProbeIndex = 0;
    std::map<std::uint32_t, Probe> probes;
    std::map<std::uint32_t, Relay> relays;
    std::uint32_t nextProbe = 1;
    std::string backgroundCursor;
    ReclaimNotices knownNotices;
    std::map<std::string, int> pendingNotices; ///< Remaining transmissions of each notice, by the id of the instance.
    std::uint64_t newestKnownRevision = 0;
    TimePoint confirmationsUntil;
    std::uint64_t liveHash = 0;
    std::size_t liveCount = 0;
    std::optional<TimePoint> lastTick;
    TimePoint nextProbeTime;
    TimePoint lastGossip;
    bool hasNewUpdates = false;
    TimePoint nextRejoin;
    TimePoint nextSync;
    std::optional<TimePoint> divergedSince; ///< When the received views began to differ from that of this node without exception.
    TimePoint currentTime; ///< Time passed to the last tick(), receive() or leave().
    std::int64_t gossipBudget = 0; ///< Bytes of gossip that may be sent now; negative after a message that exceeded the budget.
    MembershipCounts totals;
    std::uint64_t changeCount = 0;
};

} // namespace Primrosefork
