#include "membershipcontroller.h"

#include "eventlog.h"
#include "hash.h"
#include "metrics.h"
#include "nodesettings.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto controllerName = "MembershipController";
constexpr auto countsPeriod = 10s; ///< Time between two updates of the counts of refused messages.

auto wallTime() -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

auto makeSelf(const NodeSettings& settings, std::uint64_t session) -> Peer
{
    Peer self;
    self.id = settings.id;
    self.address = settings.peers;
    self.zone = settings.zone;
    self.region = settings.region;
    self.incarnation = session;
    return self;
}

auto refusedCount(const PeerCodecCounts& counts) -> std::uint64_t
{
    return counts.malformed + counts.unknownKey + counts.notAuthentic + counts.old + counts.replayed;
}

} // namespace

MembershipController::MembershipController(EventLoop& loop, const NodeSettings& settings, Blackboard& blackboard, const EventLog& log, Metrics& metrics)
    : log(log)
    , metrics(metrics)
    , peers(blackboard.peers.acquireWriter(controllerName))
    , notices(blackboard.peerNotices.acquireWriter(controllerName))
    , address(settings.peers)
    , codec(settings.peers, static_cast<std::uint64_t>(wallTime().count()), settings.peerKeys)
    , membership(makeSelf(settings, static_cast<std::uint64_t>(wallTime().count())), settings.peerSeeds, {}, static_cast<std::uint32_t>(hash64(randomHex(8))))
    , socket(loop, [this](const Address& sender, std::span<const std::uint8_t> datagram) { this->received(sender, datagram); })
    , timer(loop, [this] { this->tick(); })
{
}

auto MembershipController::begin() -> std::error_code
{
    if (const auto error = this->socket.bind(this->address))
        return error;
    this->timer.startRepeating(MembershipOptions {}.tick);
    this->tick();
    return {};
}

auto MembershipController::leave() -> void
{
    this->send(this->membership.leave(EventLoop::now()));
}

auto MembershipController::setConfigurationRevision(std::uint64_t revision) -> void
{
    this->membership.setConfigurationRevision(revision, EventLoop::now());
    this->metrics.setGauge("configuration_revision", static_cast<double>(revision));
}

auto MembershipController::announceNotices(const ReclaimNotices& current) -> void
{
    const auto now = EventLoop::now();
    for (const auto& [id, notice] : current)
        this->membership.announceNotice(id, notice.deadline, now);
}

auto MembershipController::tick() -> void
{
    const auto now = EventLoop::now();
    this->send(this->membership.tick(now));
    this->publish();
    this->reportCounts(now);
}

auto MembershipController::received(const Address& sender, std::span<const std::uint8_t> datagram) -> void
{
    this->metrics.count("peer_received_bytes_total", datagram.size());
    this->metrics.count("peer_received_messages_total");
    const auto message = this->codec.decode(datagram, wallTime());
    if (!message)
        return;
    this->send(this->membership.receive(sender, *message, EventLoop::now()));
}

auto MembershipController::send(const OutgoingMessages& messages) -> void
{
    for (const auto& outgoing : messages) {
        const auto datagram = this->codec.encode(outgoing.message, outgoing.recipient, wallTime());
        this->metrics.count("peer_sent_bytes_total", datagram.size());
        this->metrics.count("peer_sent_messages_total");
        this->socket.send(outgoing.recipient, datagram);
    }
}

auto MembershipController::publish() -> void
{
    if (this->membership.version() == this->publishedVersion)
        return;
    this->publishedVersion = this->membership.version();
    this->logChanges(this->peers.value(), this->membership.peers());
    this->peers.write(this->membership.peers());
    const auto& known = this->membership.peers();
    const auto live = std::count_if(known.begin(), known.end(), [](const auto& entry) { return isLive(entry.second.state); });
    this->metrics.setGauge("peers_live", static_cast<double>(live));
    if (this->notices.value() != this->membership.notices())
        this->notices.write(this->membership.notices());
    this->logConfirmedRevision();
}

auto MembershipController::logChanges(const Peers& before, const Peers& after) const -> void
{
    for (const auto& [id, peer] : after) {
        const auto earlier = before.find(id);
        const auto isKnown = earlier != before.end();
        if (!isKnown || earlier->second.state != peer.state || (earlier->second.incarnation != peer.incarnation && !isLive(peer.state)))
            this->logState(peer);
    }
}

auto MembershipController::logState(const Peer& peer) const -> void
{
    const auto write = [this, &peer](Event event) {
        this->log.write(event, { { "peer", peer.id }, { "zone", peer.zone }, { "address", peer.address.toString() }, { "incarnation", std::to_string(peer.incarnation) } });
    };
    switch (peer.state) {
    case PeerState::Alive:
        return write(Event::PeerJoined);
    case PeerState::Suspect:
        return write(Event::PeerSuspected);
    case PeerState::Dead:
        return write(Event::PeerDied);
    case PeerState::Left:
        return write(Event::PeerLeft);
    }
}

auto MembershipController::reportCounts(EventLoop::TimePoint now) -> void
{
    const auto pauses = this->membership.counts().pauses;
    if (std::exchange(this->loggedPauses, pauses) != pauses)
        this->log.write(Event::NodePaused, { { "pauses", std::to_string(pauses) } });
    if (now < this->nextCountsReport)
        return;
    this->nextCountsReport = now + countsPeriod;
    const auto& counts = this->codec.counts();
    this->metrics.setGauge("peer_refused_messages{reason=\"malformed\"}", static_cast<double>(counts.malformed));
    this->metrics.setGauge("peer_refused_messages{reason=\"unknown_key\"}", static_cast<double>(counts.unknownKey));
    this->metrics.setGauge("peer_refused_messages{reason=\"not_authentic\"}", static_cast<double>(counts.notAuthentic));
    this->metrics.setGauge("peer_refused_messages{reason=\"old\"}", static_cast<double>(counts.old));
    this->metrics.setGauge("peer_refused_messages{reason=\"replayed\"}", static_cast<double>(counts.replayed));
    const auto refused = refusedCount(counts);
    if (std::exchange(this->loggedRefusals, refused) != refused)
        this->log.write(Event::PeerDatagramsRefused, { { "refused", std::to_string(refused) } });
}

auto MembershipController::logConfirmedRevision() -> void
{
    const auto newest = this->membership.newestRevision();
    if (newest == this->confirmedRevision || !this->unconfirmedNodes().empty())
        return;
    this->confirmedRevision = newest;
    this->log.write(Event::RevisionConfirmed, { { "store_revision", std::to_string(newest) } });
}

auto MembershipController::unconfirmedNodes() const -> std::vector<std::string>
{
    const auto newest = this->membership.newestRevision();
    std::vector<std::string> ids;
    if (this->membership.self().configurationRevision < newest)
        ids.push_back(this->membership.self().id);
    for (const auto& [id, peer] : this->membership.peers()) {
        if (isLive(peer.state) && peer.configurationRevision < newest)
            ids.push_back(id);
    }
    return ids;
}

auto MembershipController::dumpState() const -> nlohmann::json
{
    auto known = nlohmann::json::object();
    std::size_t alive = 0;
    for (const auto& [id, peer] : this->membership.peers()) {
        alive += peer.state == PeerState::Alive ? 1 : 0;
        known[id] = { { "state", nameOf(peer.state) }, { "address", peer.address.toString() }, { "zone", peer.zone }, { "region", peer.region },
            { "incarnation", peer.incarnation }, { "configuration_revision", peer.configurationRevision } };
    }
    const auto& counts = this->membership.counts();
    return { { "alive", alive }, { "known", std::move(known) }, { "newest_revision", this->membership.newestRevision() },
        { "own_revision", this->membership.self().configurationRevision }, { "unconfirmed", this->unconfirmedNodes() },
        { "suspicions", counts.suspicions }, { "refutations", counts.refutations }, { "deaths", counts.deaths }, { "pauses", counts.pauses },
        { "refused_datagrams", refusedCount(this->codec.counts()) } };
}

} // namespace Primrosefork
