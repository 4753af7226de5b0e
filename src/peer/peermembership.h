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

/** The times and counts of failure detection; docs/decisions/050-membership.md has the reasoning. */
struct MembershipOptions {
    std::chrono::milliseconds tick { 100 }; ///< How often tick() is called.
    std::chrono::milliseconds probePeriod { 250 }; ///< Between two pings of this node.
    std::chrono::milliseconds directTimeout { 250 }; ///< Until other peers are asked to ping as well.
    std::chrono::milliseconds probeTimeout { 800 }; ///< Until the target is suspected.
    std::chrono::milliseconds suspicionTime { 1'900 }; ///< Time to refute before a suspect is declared dead.
    std::chrono::milliseconds lateTick { 400 }; ///< A longer gap between ticks shows that this node itself was paused.
    std::chrono::milliseconds gossipPeriod { 200 };
    std::chrono::milliseconds freshGossipPeriod { 50 }; ///< For news that were learnt since the last gossip.
    std::chrono::milliseconds rejoinPeriod { 2'000 }; ///< Between two pings of dead peers and seeds.
    std::chrono::milliseconds deadRetention { std::chrono::hours(2) };
    std::chrono::milliseconds leftRetention { std::chrono::minutes(10) };
    std::chrono::milliseconds differenceTime { 4'000 }; ///< How long the views of two nodes may differ before they are compared.
    std::size_t indirectProbes = 3;
    std::size_t gossipFanOut = 3;
    std::size_t recordsPerProbe = 4;
    std::size_t recordsPerGossip = 12;
    std::int64_t gossipBytesPerSecond = 2'000; ///< Beyond the probes.
    std::int64_t gossipBurstBytes = 20'000;
};

/** A message with the address it goes to. */
struct OutgoingMessage {
    Address recipient;
    PeerMessage message;
};

using OutgoingMessages = std::vector<OutgoingMessage>;

/** What membership has counted since the start of the node. */
struct MembershipCounts {
    std::uint64_t suspicions = 0; ///< Raised by this node.
    std::uint64_t refutations = 0; ///< Of suspicions against this node.
    std::uint64_t deaths = 0; ///< Learnt or declared.
    std::uint64_t pauses = 0; ///< Of this node itself.
};

/**
 * Keeps what one node knows of its peers, by the SWIM protocol: pings, pings by
 * way of others, suspicion that the suspect can refute with a higher
 * incarnation, and news that travels with the messages.
 *
 * It neither sends nor reads a clock: the owner passes the time in, calls
 * tick() regularly and sends the messages that the calls return.
 */
class PeerMembership {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** \a self carries the first incarnation, which goes up with each start of the node. */
    PeerMembership(Peer self, std::vector<Address> seeds, const MembershipOptions&, std::uint32_t randomSeed);

    [[nodiscard]] auto tick(TimePoint now) -> OutgoingMessages;
    [[nodiscard]] auto receive(const Address& sender, const PeerMessage&, TimePoint now) -> OutgoingMessages;

    /** Tells the peers that this node goes away by plan. */
    [[nodiscard]] auto leave(TimePoint now) -> OutgoingMessages;

    /** Sets the configuration revision that this node has in force. */
    auto setConfigurationRevision(std::uint64_t revision, TimePoint now) -> void;

    /** Spreads that \a instanceId will be reclaimed at \a deadline. */
    auto announceNotice(const std::string& instanceId, TimePoint deadline, TimePoint now) -> void;

    /** Returns all known peers but this node itself, the dead and the left ones among them. */
    [[nodiscard]] auto peers() const -> const Peers& { return this->known; }

    [[nodiscard]] auto self() const -> const Peer& { return this->own; }
    [[nodiscard]] auto notices() const -> const ReclaimNotices& { return this->knownNotices; }

    /** Returns the newest configuration revision that any node is known to have in force. */
    [[nodiscard]] auto newestRevision() const -> std::uint64_t { return this->newest; }

    [[nodiscard]] auto counts() const -> const MembershipCounts& { return this->totals; }

    /** Returns a number that goes up with each change of peers() or notices(). */
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
        TimePoint end;
    };

    struct Timing {
        TimePoint suspectSince;
        TimePoint endedSince; ///< Dead or left since.
    };

    auto noticePause(TimePoint now) -> void;
    auto probeNext(TimePoint now, OutgoingMessages&) -> void;
    auto advanceProbes(TimePoint now, OutgoingMessages&) -> void;
    auto askOthers(const std::string& target, std::uint32_t probe, OutgoingMessages&) -> void;
    auto suspect(const std::string& id, TimePoint now, OutgoingMessages&) -> void;
    auto endSuspicions(TimePoint now) -> void;
    auto forgetEnded(TimePoint now) -> void;
    auto gossip(TimePoint now, OutgoingMessages&) -> void;
    auto rejoin(TimePoint now, OutgoingMessages&) -> void;
    auto receivePing(const Address& sender, const PeerMessage&, OutgoingMessages&) -> void;
    auto receiveAck(const PeerMessage&, OutgoingMessages&) -> void;
    auto receivePingRequest(const Address& sender, const PeerMessage&, TimePoint now, OutgoingMessages&) -> void;
    auto sendAll(const Address& recipient, OutgoingMessages&) -> void;
    auto requestSync(const Address& sender, const PeerMessage&, TimePoint now, OutgoingMessages&) -> void;
    auto answerDeadSender(const Address& sender, const PeerMessage&, OutgoingMessages&) -> void;
    auto dispatch(const Address& sender, const PeerMessage&, TimePoint now, OutgoingMessages&) -> void;
    auto learnAll(const PeerMessage&, TimePoint now, OutgoingMessages&) -> void;
    auto learn(const Peer& record, TimePoint now) -> void;
    auto add(const Peer& record, TimePoint now) -> void;
    auto noteHeardAgain(const std::string& id) -> void;
    [[nodiscard]] auto isContradictedBy(const PeerMessage&) const -> bool;
    auto learnOfSelf(const Peer& record) -> void;
    auto learnRevisions(const PeerMessage&, TimePoint now) -> void;
    auto raiseRevision(Peer&, std::uint64_t revision) -> void;
    auto learnNotice(const PeerNotice&, TimePoint now) -> void;
    auto setNewestRevision(std::uint64_t revision, TimePoint now) -> void;
    auto changeState(Peer&, PeerState, TimePoint now) -> void;
    auto spread(const std::string& id) -> void;
    [[nodiscard]] auto nextTarget() -> Peer*;
    auto shuffleOrder() -> void;
    auto earnGossipCredit(TimePoint now) -> void;
    [[nodiscard]] auto lostAddresses() const -> std::vector<Address>;
    [[nodiscard]] auto liveInOrder() -> std::vector<Peer*>;
    [[nodiscard]] auto isProbed(const std::string& id) const -> bool;
    [[nodiscard]] auto makeMessage(PeerMessageKind, TimePoint now) -> PeerMessage;
    auto addNews(PeerMessage&, std::size_t limit, TimePoint now) -> void;
    auto addNotices(PeerMessage&, TimePoint now) -> void;
    auto addBackgroundRecord(PeerMessage&) -> void;
    [[nodiscard]] auto confirmations() -> std::vector<std::uint8_t>;
    [[nodiscard]] auto recordOf(const std::string& id) const -> const Peer*;
    [[nodiscard]] auto randomLivePeers(std::size_t count, const std::string& except) -> std::vector<const Peer*>;
    [[nodiscard]] auto transmitLimit() const -> int;

    Peer own;
    std::vector<Address> seeds;
    MembershipOptions options;
    std::minstd_rand generator;
    Peers known;
    std::map<std::string, Timing> timings;
    std::map<std::string, int> news; ///< Transmissions left, by the id of the peer.
    std::vector<std::string> probeOrder;
    std::size_t nextInOrder = 0;
    std::map<std::uint32_t, Probe> probes;
    std::map<std::uint32_t, Relay> relays;
    std::uint32_t nextProbe = 1;
    std::string backgroundCursor;
    ReclaimNotices knownNotices;
    std::map<std::string, int> noticeNews;
    std::uint64_t newest = 0;
    TimePoint confirmationsUntil;
    std::uint64_t liveHash = 0;
    std::size_t liveCount = 0;
    std::optional<TimePoint> lastTick;
    TimePoint nextProbeTime;
    TimePoint lastGossip;
    bool hasFreshNews = false;
    TimePoint nextRejoin;
    TimePoint nextSync;
    std::optional<TimePoint> differsSince; ///< Since when all peers that sent had another view than this node.
    TimePoint present; ///< Passed in last.
    std::int64_t gossipCredit = 0;
    MembershipCounts totals;
    std::uint64_t changeCount = 0;
};

} // namespace Primrosefork
