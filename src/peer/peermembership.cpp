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
constexpr auto noticeRetention = 60s; ///< After the deadline of a notice.
constexpr std::int64_t bytesPerRecord = 50;
constexpr std::int64_t bytesPerMessage = 120;

/** Whether \a record says something newer than \a current does. */
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
    : own(std::move(self))
    , seeds(std::move(seedAddresses))
    , options(options)
    , generator(randomSeed)
    , liveHash(hash64(this->own.id))
    , gossipCredit(options.gossipBurstBytes)
{
    std::erase(this->seeds, this->own.address);
    this->spread(this->own.id);
}

auto PeerMembership::tick(TimePoint now) -> OutgoingMessages
{
    OutgoingMessages messages;
    this->present = now;
    this->noticePause(now);
    if (this->own.state == PeerState::Alive) {
        this->advanceProbes(now, messages);
        this->probeNext(now, messages);
        this->rejoin(now, messages);
    }
    this->endSuspicions(now);
    this->forgetEnded(now);
    this->gossip(now, messages);
    return messages;
}

/** A node that was itself paused has missed answers and gives its peers the time again. */
auto PeerMembership::noticePause(TimePoint now) -> void
{
    const auto gap = this->lastTick ? now - *this->lastTick : this->options.tick;
    this->lastTick = now;
    if (gap <= this->options.lateTick)
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
    this->addNews(message, this->options.recordsPerProbe, now);
    this->addBackgroundRecord(message);
    messages.push_back({ target->address, std::move(message) });
}

auto PeerMembership::nextTarget() -> Peer*
{
    for (std::size_t tried = 0; tried <= this->known.size(); ++tried) {
        if (this->nextInOrder >= this->probeOrder.size())
            this->shuffleOrder();
        if (this->probeOrder.empty())
            return nullptr;
        const auto found = this->known.find(this->probeOrder[this->nextInOrder++]);
        if (found != this->known.end() && isLive(found->second.state) && !this->isProbed(found->first))
            return &found->second;
    }
    return nullptr;
}

auto PeerMembership::shuffleOrder() -> void
{
    this->probeOrder.clear();
    for (const auto& [id, peer] : this->known) {
        if (isLive(peer.state))
            this->probeOrder.push_back(id);
    }
    std::shuffle(this->probeOrder.begin(), this->probeOrder.end(), this->generator);
    this->nextInOrder = 0;
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
            this->askOthers(probe.target, entry->first, messages);
        ++entry;
    }
    for (const auto& id : failed)
        this->suspect(id, now, messages);
    std::erase_if(this->relays, [now](const auto& entry) { return entry.second.end <= now; });
}

auto PeerMembership::askOthers(const std::string& target, std::uint32_t probe, OutgoingMessages& messages) -> void
{
    const auto found = this->known.find(target);
    if (found == this->known.end())
        return;
    auto again = this->makeMessage(PeerMessageKind::Ping, this->present);
    again.probe = probe;
    again.target = target;
    messages.push_back({ found->second.address, std::move(again) });
    for (const auto* helper : this->randomLivePeers(this->options.indirectProbes, target)) {
        auto message = this->makeMessage(PeerMessageKind::PingRequest, this->present);
        message.probe = probe;
        message.target = target;
        message.targetAddress = found->second.address;
        messages.push_back({ helper->address, std::move(message) });
    }
}

auto PeerMembership::suspect(const std::string& id, TimePoint now, OutgoingMessages& messages) -> void
{
    const auto found = this->known.find(id);
    if (found == this->known.end() || found->second.state != PeerState::Alive)
        return;
    ++this->totals.suspicions;
    this->changeState(found->second, PeerState::Suspect, now);
    // The suspect is told at once, so that it can refute.
    auto message = this->makeMessage(PeerMessageKind::Gossip, now);
    message.records.push_back(found->second);
    messages.push_back({ found->second.address, std::move(message) });
}

auto PeerMembership::endSuspicions(TimePoint now) -> void
{
    for (auto& [id, peer] : this->known) {
        if (peer.state == PeerState::Suspect && now - this->timings[id].suspectSince >= this->options.suspicionTime)
            this->changeState(peer, PeerState::Dead, now);
    }
}

auto PeerMembership::forgetEnded(TimePoint now) -> void
{
    const auto isOver = [this, now](const auto& entry) {
        const auto since = now - this->timings[entry.first].endedSince;
        return (entry.second.state == PeerState::Dead && since >= this->options.deadRetention)
            || (entry.second.state == PeerState::Left && since >= this->options.leftRetention);
    };
    if (std::erase_if(this->known, isOver) > 0) {
        std::erase_if(this->timings, [this](const auto& entry) { return !this->known.contains(entry.first); });
        std::erase_if(this->news, [this](const auto& entry) { return !this->recordOf(entry.first); });
        ++this->changeCount;
    }
    if (std::erase_if(this->knownNotices, [now](const auto& entry) { return entry.second.deadline + noticeRetention < now; }) > 0)
        ++this->changeCount;
}

auto PeerMembership::gossip(TimePoint now, OutgoingMessages& messages) -> void
{
    const auto period = this->hasFreshNews ? this->options.freshGossipPeriod : this->options.gossipPeriod;
    if ((this->news.empty() && this->noticeNews.empty()) || now - this->lastGossip < period)
        return;
    this->earnGossipCredit(now);
    this->lastGossip = now;
    this->hasFreshNews = false;
    for (const auto* peer : this->randomLivePeers(this->options.gossipFanOut, "")) {
        if (this->gossipCredit <= 0)
            return;
        auto message = this->makeMessage(PeerMessageKind::Gossip, now);
        this->addNews(message, this->options.recordsPerGossip, now);
        if (message.records.empty() && message.notices.empty())
            return;
        this->gossipCredit -= estimatedBytes(message);
        messages.push_back({ peer->address, std::move(message) });
    }
}

auto PeerMembership::earnGossipCredit(TimePoint now) -> void
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(std::min<TimePoint::duration>(now - this->lastGossip, 1min));
    this->gossipCredit = std::min(this->gossipCredit + this->options.gossipBytesPerSecond * elapsed / 1s, this->options.gossipBurstBytes);
}

/** Looks for peers that may have come back: the dead ones, and the seeds that are no live peers. */
auto PeerMembership::rejoin(TimePoint now, OutgoingMessages& messages) -> void
{
    if (now < this->nextRejoin)
        return;
    const auto isAlone = this->liveCount == 0;
    this->nextRejoin = now + (isAlone ? this->options.rejoinPeriod / 4 : this->options.rejoinPeriod);
    const auto lost = this->lostAddresses();
    if (lost.empty())
        return;
    const auto& address = lost[std::uniform_int_distribution<std::size_t>(0, lost.size() - 1)(this->generator)];
    auto message = this->makeMessage(isAlone ? PeerMessageKind::SyncRequest : PeerMessageKind::Gossip, now);
    message.records.push_back(this->own);
    for (const auto& [id, peer] : this->known) {
        if (peer.address == address)
            message.records.push_back(peer);
    }
    messages.push_back({ address, std::move(message) });
}

auto PeerMembership::lostAddresses() const -> std::vector<Address>
{
    auto lost = this->seeds;
    for (const auto& [id, peer] : this->known) {
        if (peer.state == PeerState::Dead)
            lost.push_back(peer.address);
    }
    for (const auto& [id, peer] : this->known) {
        if (isLive(peer.state))
            std::erase(lost, peer.address);
    }
    return lost;
}

auto PeerMembership::receive(const Address& sender, const PeerMessage& message, TimePoint now) -> OutgoingMessages
{
    OutgoingMessages messages;
    this->present = now;
    if (message.sender == this->own.id)
        return messages;
    this->learnAll(message, now, messages);
    if (this->isContradictedBy(message)) {
        auto refutation = this->makeMessage(PeerMessageKind::Gossip, now);
        refutation.records.push_back(this->own);
        messages.push_back({ sender, std::move(refutation) });
    }
    this->answerDeadSender(sender, message, messages);
    this->dispatch(sender, message, now, messages);
    this->requestSync(sender, message, now, messages);
    if (this->hasFreshNews)
        this->gossip(now, messages);
    return messages;
}

auto PeerMembership::isContradictedBy(const PeerMessage& message) const -> bool
{
    return this->own.state == PeerState::Alive
        && std::any_of(message.records.begin(), message.records.end(), [this](const Peer& record) { return record.id == this->own.id && record.state != PeerState::Alive; });
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
        return this->sendAll(sender, messages);
    case PeerMessageKind::Gossip:
    case PeerMessageKind::Sync:
        return;
    }
}

auto PeerMembership::learnAll(const PeerMessage& message, TimePoint now, OutgoingMessages& messages) -> void
{
    for (const auto& record : message.records) {
        const auto found = this->known.find(record.id);
        const auto isHeldAlive = found != this->known.end() && found->second.state == PeerState::Alive;
        if (message.kind == PeerMessageKind::Sync && record.state == PeerState::Dead && isHeldAlive && isNewer(record, found->second)) {
            // The other side of a partition that ended: the peer concerned refutes, nothing changes here.
            auto hint = this->makeMessage(PeerMessageKind::Gossip, now);
            hint.records.push_back(record);
            messages.push_back({ found->second.address, std::move(hint) });
            continue;
        }
        this->learn(record, now);
    }
    for (const auto& notice : message.notices)
        this->learnNotice(notice, now);
    this->learnRevisions(message, now);
}

auto PeerMembership::receivePing(const Address& sender, const PeerMessage& message, OutgoingMessages& messages) -> void
{
    if (message.target != this->own.id)
        return;
    auto answer = this->makeMessage(PeerMessageKind::Ack, this->present);
    answer.probe = message.probe;
    answer.target = this->own.id;
    this->addNews(answer, this->options.recordsPerProbe, this->present);
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
    auto answer = this->makeMessage(PeerMessageKind::Ack, this->present);
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

auto PeerMembership::sendAll(const Address& recipient, OutgoingMessages& messages) -> void
{
    auto message = this->makeMessage(PeerMessageKind::Sync, this->present);
    message.records.push_back(this->own);
    for (const auto& [id, peer] : this->known) {
        if (message.records.size() == recordsPerSync) {
            messages.push_back({ recipient, message });
            message.records.clear();
        }
        message.records.push_back(peer);
    }
    messages.push_back({ recipient, std::move(message) });
}

/** A node whose view differs from that of all who send to it asks one of them for everything. */
auto PeerMembership::requestSync(const Address& sender, const PeerMessage& message, TimePoint now, OutgoingMessages& messages) -> void
{
    if (message.liveHash == this->liveHash || this->own.state != PeerState::Alive) {
        this->differsSince.reset();
        return;
    }
    if (!this->differsSince)
        this->differsSince = now;
    if (now - *this->differsSince < this->options.differenceTime || now < this->nextSync || message.kind == PeerMessageKind::Sync)
        return;
    const auto period = std::max(shortestSyncPeriod, syncPeriodPerPeer * static_cast<std::int64_t>(this->liveCount));
    const auto jitter = std::uniform_int_distribution<std::int64_t>(0, period.count() / 2)(this->generator);
    this->nextSync = now + period + std::chrono::milliseconds(jitter);
    auto request = this->makeMessage(PeerMessageKind::SyncRequest, now);
    request.records.push_back(this->own);
    messages.push_back({ sender, std::move(request) });
}

/** Tells a peer that is held for dead and sends all the same, so that it can refute. */
auto PeerMembership::answerDeadSender(const Address& sender, const PeerMessage& message, OutgoingMessages& messages) -> void
{
    const auto found = this->known.find(message.sender);
    if (found == this->known.end() || found->second.state != PeerState::Dead || message.kind == PeerMessageKind::Sync)
        return;
    auto answer = this->makeMessage(PeerMessageKind::Gossip, this->present);
    answer.records.push_back(found->second);
    messages.push_back({ sender, std::move(answer) });
}

} // namespace Primrosefork
