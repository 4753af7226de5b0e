#include "peermembership.h"

#include "hash.h"

#include <algorithm>
#include <bit>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::size_t recordsPerSync = 20;
constexpr std::chrono::milliseconds shortestSyncPeriod = 2s;
constexpr std::chrono::milliseconds syncPeriodPerPeer = 50ms;
constexpr auto noticeRetention = 60s; ///< Time for which a notice is kept after its deadline.
constexpr std::int64_t bytesPerRecord = 50; ///< Estimated size of a peer record or notice in a message.
constexpr std::int64_t bytesPerMessage = 120; ///< Estimated size of a message without records and notices.

/** Returns whether \a record supersedes \a current. */
auto isNewer(const Peer& record, const Peer& current) -> bool
{
    if (record.incarnation != current.incarnation)
        return record.incarnation > current.incarnation;
    return record.state > current.state;
}

auto estimatedBytes(const PeerMessage& message) -> std::int64_t
{
    return bytesPerMessage + bytesPerRecord * static_cast<std::int64_t>(message.records.size() + message.notices.size());
}

} // namespace

PeerMembership::PeerMembership(Peer self, std::vector<Address> seedAddresses, const MembershipOptions& options, std::uint32_t randomSeed)
    : ownRecord(std::move(self))
    , seeds(std::move(seedAddresses))
    , options(options)
    , generator(randomSeed)
    , liveHash(hash64(this->ownRecord.id))
    , gossipBudget(options.gossipBurstBytes)
{
    std::erase(this->seeds, this->ownRecord.address);
    this->enqueueUpdate(this->ownRecord.id);
}

auto PeerMembership::tick(TimePoint now) -> OutgoingMessages
{
    OutgoingMessages messages;
    this->currentTime = now;
    this->detectOwnPause(now);
    if (this->ownRecord.state == PeerState::Alive) {
        this->advanceProbes(now, messages);
        this->probeNext(now, messages);
        this->rejoin(now, messages);
    }
    this->expireSuspicions(now);
    this->evictExpired(now);
    this->gossip(now, messages);
    return messages;
}

/** Detects that this node itself was paused and missed acknowledgements and refutations; drops its probes and extends the suspicions by the gap. */
auto PeerMembership::detectOwnPause(TimePoint now) -> void
{
    const auto gap = this->lastTick ? now - *this->lastTick : this->options.tick;
    this->lastTick = now;
    if (gap <= this->options.pauseThreshold)
        return;
    ++this->totals.pauses;
    this->probes.clear();
    for (auto& [id, timing] : this->timings)
        timing.suspectSince += gap;
}

auto PeerMembership::probeNext(TimePoint now, OutgoingMessages& messages) -> void
{
    if (now < this->nextProbeTime)
        return;
    this->nextProbeTime = std::max(this->nextProbeTime + this->options.probePeriod, now);
    const auto* target = this->nextTarget();
    if (!target)
        return;
    const auto probe = this->nextProbe++;
    this->probes[probe] = { target->id, now };
    auto message = this->makeMessage(PeerMessageKind::Ping, now);
    message.probe = probe;
    message.target = target->id;
    if (target->state == PeerState::Suspect)
        message.records.push_back(*target);
    this->addPendingUpdates(message, this->options.recordsPerProbe, now);
    this->addBackgroundRecord(message);
    messages.push_back({ target->address, std::move(message) });
}

auto PeerMembership::nextTarget() -> Peer*
{
    for (std::size_t tried = 0; tried <= this->knownPeers.size(); ++tried) {
        if (this->nextProbeIndex >= this->probeOrder.size())
            this->shuffleOrder();
        if (this->probeOrder.empty())
            return nullptr;
        const auto found = this->knownPeers.find(this->probeOrder[this->nextProbeIndex++]);
        if (found != this->knownPeers.end() && isLive(found->second.state) && !this->isProbed(found->first))
            return &found->second;
    }
    return nullptr;
}

auto PeerMembership::shuffleOrder() -> void
{
    this->probeOrder.clear();
    for (const auto& [id, peer] : this->knownPeers) {
        if (isLive(peer.state))
            this->probeOrder.push_back(id);
    }
    std::shuffle(this->probeOrder.begin(), this->probeOrder.end(), this->generator);
    this->nextProbeIndex = 0;
}

auto PeerMembership::isProbed(const std::string& id) const -> bool
{
    return std::any_of(this->probes.begin(), this->probes.end(), [&id](const auto& entry) { return entry.second.target == id; });
}

auto PeerMembership::advanceProbes(TimePoint now, OutgoingMessages& messages) -> void
{
    std::vector<std::string> failed;
    for (auto entry = this->probes.begin(); entry != this->probes.end();) {
        auto& probe = entry->second;
        const auto waited = now - probe.sent;
        if (waited >= this->options.probeTimeout) {
            failed.push_back(probe.target);
            entry = this->probes.erase(entry);
            continue;
        }
        if (waited >= this->options.directTimeout && !std::exchange(probe.isIndirect, true))
            this->sendIndirectPings(probe.target, entry->first, messages);
        ++entry;
    }
    for (const auto& id : failed)
        this->suspect(id, now, messages);
    std::erase_if(this->relays, [now](const auto& entry) { return entry.second.expiry <= now; });
}

auto PeerMembership::sendIndirectPings(const std::string& target, std::uint32_t probe, OutgoingMessages& messages) -> void
{
    const auto found = this->knownPeers.find(target);
    if (found == this->knownPeers.end())
        return;
    auto repeatedPing = this->makeMessage(PeerMessageKind::Ping, this->currentTime);
    repeatedPing.probe = probe;
    repeatedPing.target = target;
    messages.push_back({ found->second.address, std::move(repeatedPing) });
    for (const auto* intermediary : this->randomAlivePeers(this->options.indirectProbes, target)) {
        auto message = this->makeMessage(PeerMessageKind::PingRequest, this->currentTime);
        message.probe = probe;
        message.target = target;
        message.targetAddress = found->second.address;
        messages.push_back({ intermediary->address, std::move(message) });
    }
}

auto PeerMembership::suspect(const std::string& id, TimePoint now, OutgoingMessages& messages) -> void
{
    const auto found = this->knownPeers.find(id);
    if (found == this->knownPeers.end() || found->second.state != PeerState::Alive)
        return;
    ++this->totals.suspicions;
    this->changeState(found->second, PeerState::Suspect, now);
    // Notifies the suspect immediately, so that it can refute the suspicion.
    auto message = this->makeMessage(PeerMessageKind::Gossip, now);
    message.records.push_back(found->second);
    messages.push_back({ found->second.address, std::move(message) });
}

auto PeerMembership::expireSuspicions(TimePoint now) -> void
{
    for (auto& [id, peer] : this->knownPeers) {
        if (peer.state == PeerState::Suspect && now - this->timings[id].suspectSince >= this->options.suspicionTime)
            this->changeState(peer, PeerState::Dead, now);
    }
}

auto PeerMembership::evictExpired(TimePoint now) -> void
{
    const auto isExpired = [this, now](const auto& entry) {
        const auto since = now - this->timings[entry.first].livenessChange;
        return (entry.second.state == PeerState::Dead && since >= this->options.deadRetention)
            || (entry.second.state == PeerState::Left && since >= this->options.leftRetention);
    };
    if (std::erase_if(this->knownPeers, isExpired) > 0) {
        std::erase_if(this->timings, [this](const auto& entry) { return !this->knownPeers.contains(entry.first); });
        std::erase_if(this->pendingUpdates, [this](const auto& entry) { return !this->recordOf(entry.first); });
        ++this->changeCount;
    }
    if (std::erase_if(this->knownNotices, [now](const auto& entry) { return entry.second.deadline + noticeRetention < now; }) > 0)
        ++this->changeCount;
}

auto PeerMembership::gossip(TimePoint now, OutgoingMessages& messages) -> void
{
    const auto period = this->hasNewUpdates ? this->options.freshGossipPeriod : this->options.gossipPeriod;
    if ((this->pendingUpdates.empty() && this->pendingNotices.empty()) || now - this->lastGossip < period)
        return;
    this->refillGossipBudget(now);
    this->lastGossip = now;
    this->hasNewUpdates = false;
    for (const auto* peer : this->randomAlivePeers(this->options.gossipFanOut, "")) {
        if (this->gossipBudget <= 0)
            return;
        auto message = this->makeMessage(PeerMessageKind::Gossip, now);
        this->addPendingUpdates(message, this->options.recordsPerGossip, now);
        if (message.records.empty() && message.notices.empty())
            return;
        this->gossipBudget -= estimatedBytes(message);
        messages.push_back({ peer->address, std::move(message) });
    }
}

auto PeerMembership::refillGossipBudget(TimePoint now) -> void
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(std::min<TimePoint::duration>(now - this->lastGossip, 1min));
    this->gossipBudget = std::min(this->gossipBudget + this->options.gossipBytesPerSecond * elapsed / 1s, this->options.gossipBurstBytes);
}

/** Contacts a random address where a node may be reachable again: of a dead peer, or of a seed that is not a live peer. */
auto PeerMembership::rejoin(TimePoint now, OutgoingMessages& messages) -> void
{
    if (now < this->nextRejoin)
        return;
    const auto isAlone = this->liveCount == 0;
    this->nextRejoin = now + (isAlone ? this->options.rejoinPeriod / 4 : this->options.rejoinPeriod);
    const auto candidates = this->rejoinAddresses();
    if (candidates.empty())
        return;
    const auto& address = candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(this->generator)];
    auto message = this->makeMessage(isAlone ? PeerMessageKind::SyncRequest : PeerMessageKind::Gossip, now);
    message.records.push_back(this->ownRecord);
    for (const auto& [id, peer] : this->knownPeers) {
        if (peer.address == address)
            message.records.push_back(peer);
    }
    messages.push_back({ address, std::move(message) });
}

auto PeerMembership::rejoinAddresses() const -> std::vector<Address>
{
    auto candidates = this->seeds;
    for (const auto& [id, peer] : this->knownPeers) {
        if (peer.state == PeerState::Dead)
            candidates.push_back(peer.address);
    }
    for (const auto& [id, peer] : this->knownPeers) {
        if (isLive(peer.state))
            std::erase(candidates, peer.address);
    }
    return candidates;
}

auto PeerMembership::receive(const Address& sender, const PeerMessage& message, TimePoint now) -> OutgoingMessages
{
    OutgoingMessages messages;
    this->currentTime = now;
    if (message.sender == this->ownRecord.id)
        return messages;
    this->mergeMessage(message, now, messages);
    if (this->isContradictedBy(message)) {
        auto refutation = this->makeMessage(PeerMessageKind::Gossip, now);
        refutation.records.push_back(this->ownRecord);
        messages.push_back({ sender, std::move(refutation) });
    }
    this->notifyDeadSender(sender, message, messages);
    this->dispatch(sender, message, now, messages);
    this->requestSync(sender, message, now, messages);
    if (this->hasNewUpdates)
        this->gossip(now, messages);
    return messages;
}

auto PeerMembership::isContradictedBy(const PeerMessage& message) const -> bool
{
    return this->ownRecord.state == PeerState::Alive
        && std::any_of(message.records.begin(), message.records.end(), [this](const Peer& record) { return record.id == this->ownRecord.id && record.state != PeerState::Alive; });
}

auto PeerMembership::dispatch(const Address& sender, const PeerMessage& message, TimePoint now, OutgoingMessages& messages) -> void
{
    switch (message.kind) {
    case PeerMessageKind::Ping:
        return this->receivePing(sender, message, messages);
    case PeerMessageKind::Ack:
        return this->receiveAck(message, messages);
    case PeerMessageKind::PingRequest:
        return this->receivePingRequest(sender, message, now, messages);
    case PeerMessageKind::SyncRequest:
        return this->sendSync(sender, messages);
    case PeerMessageKind::Gossip:
    case PeerMessageKind::Sync:
        return;
    }
}

auto PeerMembership::mergeMessage(const PeerMessage& message, TimePoint now, OutgoingMessages& messages) -> void
{
    for (const auto& record : message.records) {
        const auto found = this->knownPeers.find(record.id);
        const auto isKnownAlive = found != this->knownPeers.end() && found->second.state == PeerState::Alive;
        if (message.kind == PeerMessageKind::Sync && record.state == PeerState::Dead && isKnownAlive && isNewer(record, found->second)) {
            // The sender may have been separated from the peer by a partition that has ended. The peer gets the
            // record and refutes it; the state here stays unchanged.
            auto forwarded = this->makeMessage(PeerMessageKind::Gossip, now);
            forwarded.records.push_back(record);
            messages.push_back({ found->second.address, std::move(forwarded) });
            continue;
        }
        this->mergeRecord(record, now);
    }
    for (const auto& notice : message.notices)
        this->mergeNotice(notice, now);
    this->mergeRevisions(message, now);
}

auto PeerMembership::receivePing(const Address& sender, const PeerMessage& message, OutgoingMessages& messages) -> void
{
    if (message.target != this->ownRecord.id)
        return;
    auto answer = this->makeMessage(PeerMessageKind::Ack, this->currentTime);
    answer.probe = message.probe;
    answer.target = this->ownRecord.id;
    this->addPendingUpdates(answer, this->options.recordsPerProbe, this->currentTime);
    messages.push_back({ sender, std::move(answer) });
}

auto PeerMembership::receiveAck(const PeerMessage& message, OutgoingMessages& messages) -> void
{
    const auto probe = this->probes.find(message.probe);
    if (probe != this->probes.end() && probe->second.target == message.target) {
        this->probes.erase(probe);
        return;
    }
    const auto relay = this->relays.find(message.probe);
    if (relay == this->relays.end() || relay->second.target != message.sender)
        return;
    auto answer = this->makeMessage(PeerMessageKind::Ack, this->currentTime);
    answer.probe = relay->second.requesterProbe;
    answer.target = relay->second.target;
    messages.push_back({ relay->second.requester, std::move(answer) });
    this->relays.erase(relay);
}

auto PeerMembership::receivePingRequest(const Address& sender, const PeerMessage& message, TimePoint now, OutgoingMessages& messages) -> void
{
    const auto probe = this->nextProbe++;
    this->relays[probe] = { sender, message.probe, message.target, now + this->options.probeTimeout };
    auto ping = this->makeMessage(PeerMessageKind::Ping, now);
    ping.probe = probe;
    ping.target = message.target;
    messages.push_back({ message.targetAddress, std::move(ping) });
}

auto PeerMembership::sendSync(const Address& recipient, OutgoingMessages& messages) -> void
{
    auto message = this->makeMessage(PeerMessageKind::Sync, this->currentTime);
    message.records.push_back(this->ownRecord);
    for (const auto& [id, peer] : this->knownPeers) {
        if (message.records.size() == recordsPerSync) {
            messages.push_back({ recipient, message });
            message.records.clear();
        }
        message.records.push_back(peer);
    }
    messages.push_back({ recipient, std::move(message) });
}

/** Requests a full synchronization from \a sender if all received views have differed from that of this node for the syncDelay. */
auto PeerMembership::requestSync(const Address& sender, const PeerMessage& message, TimePoint now, OutgoingMessages& messages) -> void
{
    if (message.liveHash == this->liveHash || this->ownRecord.state != PeerState::Alive) {
        this->divergedSince.reset();
        return;
    }
    if (!this->divergedSince)
        this->divergedSince = now;
    if (now - *this->divergedSince < this->options.syncDelay || now < this->nextSync || message.kind == PeerMessageKind::Sync)
        return;
    const auto period = std::max(shortestSyncPeriod, syncPeriodPerPeer * static_cast<std::int64_t>(this->liveCount));
    const auto jitter = std::uniform_int_distribution<std::int64_t>(0, period.count() / 2)(this->generator);
    this->nextSync = now + period + std::chrono::milliseconds(jitter);
    auto request = this->makeMessage(PeerMessageKind::SyncRequest, now);
    request.records.push_back(this->ownRecord);
    messages.push_back({ sender, std::move(request) });
}

/** Notifies a sender that is recorded as dead, so that it can refute its death. */
auto PeerMembership::notifyDeadSender(const Address& sender, const PeerMessage& message, OutgoingMessages& messages) -> void
{
    const auto found = this->knownPeers.find(message.sender);
    if (found == this->knownPeers.end() || found->second.state != PeerState::Dead || message.kind == PeerMessageKind::Sync)
        return;
    auto answer = this->makeMessage(PeerMessageKind::Gossip, this->currentTime);
    answer.records.push_back(found->second);
    messages.push_back({ sender, std::move(answer) });
}

} // namespace Primrosefork
