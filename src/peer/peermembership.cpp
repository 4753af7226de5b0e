#include "peermembership.h"

#include "hash.h"

#include <algorithm>
#include <bit>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::size_t recordsPerSync = 20;
constexpr int transmitFactor = 3; ///< Times the logarithm of the number of nodes.
constexpr auto confirmationTime = 10s; ///< How long confirmations travel after a change.
constexpr std::chrono::milliseconds shortestSyncPeriod = 2s;
constexpr std::chrono::milliseconds syncPeriodPerPeer = 50ms;
constexpr auto noticeRetention = 60s; ///< After the deadline of a notice.
constexpr std::size_t maxNotices = 512;
constexpr std::size_t maxPeers = PeerLimits::confirmationBytes * 8 - 1;
constexpr std::size_t bitsPerByte = 8;
constexpr std::int64_t bytesPerRecord = 50;
constexpr std::int64_t bytesPerMessage = 120;

auto isLive(PeerState state) -> bool
{
    return state == PeerState::Alive || state == PeerState::Suspect;
}

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

auto PeerMembership::learn(const Peer& record, TimePoint now) -> void
{
    if (record.id == this->own.id)
        return this->learnOfSelf(record);
    const auto found = this->known.find(record.id);
    if (found == this->known.end())
        return this->add(record, now);
    auto& current = found->second;
    if (isNewer(record, current)) {
        // A death that comes without a suspicion before it may be out of date: the peer gets the time to refute.
        const auto isSudden = record.state == PeerState::Dead && current.state == PeerState::Alive;
        const auto state = current.state;
        const auto revision = record.incarnation == current.incarnation ? current.configurationRevision : 0;
        current = record;
        current.state = state;
        current.configurationRevision = std::max(record.configurationRevision, revision);
        this->changeState(current, isSudden ? PeerState::Suspect : record.state, now);
    } else if (record.incarnation == current.incarnation) {
        this->raiseRevision(current, record.configurationRevision);
        if (record.state == current.state)
            this->noteHeardAgain(record.id);
    }
}

/** News that others send as well need fewer transmissions from here. */
auto PeerMembership::noteHeardAgain(const std::string& id) -> void
{
    const auto found = this->news.find(id);
    if (found != this->news.end() && --found->second <= 0)
        this->news.erase(found);
}

auto PeerMembership::add(const Peer& record, TimePoint now) -> void
{
    if (!isLive(record.state) || this->known.size() >= maxPeers)
        return;
    auto& added = this->known[record.id];
    added = record;
    added.state = PeerState::Dead;
    this->changeState(added, record.state, now);
    // A random place in the order, so that a newcomer is not probed by all at once.
    const auto left = this->probeOrder.size() - this->nextInOrder;
    const auto place = this->nextInOrder + std::uniform_int_distribution<std::size_t>(0, left)(this->generator);
    this->probeOrder.insert(this->probeOrder.begin() + static_cast<std::ptrdiff_t>(place), record.id);
}

auto PeerMembership::learnOfSelf(const Peer& record) -> void
{
    const auto isContradicted = record.state != PeerState::Alive && record.incarnation >= this->own.incarnation;
    const auto isFromLaterStart = record.incarnation > this->own.incarnation;
    if (this->own.state == PeerState::Left || (!isContradicted && !isFromLaterStart))
        return;
    this->own.incarnation = record.incarnation + 1;
    ++this->totals.refutations;
    this->spread(this->own.id);
}

auto PeerMembership::learnRevisions(const PeerMessage& message, TimePoint now) -> void
{
    this->setNewestRevision(std::max(message.newestRevision, message.ownRevision), now);
    const auto sender = this->known.find(message.sender);
    if (sender != this->known.end())
        this->raiseRevision(sender->second, message.ownRevision);
    if (message.newestRevision != this->newest || message.liveHash != this->liveHash)
        return;
    std::size_t index = 0;
    for (auto* peer : this->liveInOrder()) {
        const auto byte = index / bitsPerByte;
        if (peer != &this->own && byte < message.confirmations.size() && (message.confirmations[byte] >> (index % bitsPerByte) & 1U) != 0)
            this->raiseRevision(*peer, this->newest);
        ++index;
    }
}

auto PeerMembership::raiseRevision(Peer& peer, std::uint64_t revision) -> void
{
    if (revision <= peer.configurationRevision)
        return;
    peer.configurationRevision = revision;
    ++this->changeCount;
}

auto PeerMembership::learnNotice(const PeerNotice& notice, TimePoint now) -> void
{
    if (this->knownNotices.contains(notice.instanceId) || this->knownNotices.size() >= maxNotices)
        return;
    this->announceNotice(notice.instanceId, now + notice.remaining, now);
}

auto PeerMembership::announceNotice(const std::string& instanceId, TimePoint deadline, TimePoint now) -> void
{
    if (deadline + noticeRetention < now || !this->knownNotices.try_emplace(instanceId, ReclaimNotice { instanceId, deadline }).second)
        return;
    this->noticeNews[instanceId] = this->transmitLimit();
    this->hasFreshNews = true;
    ++this->changeCount;
}

auto PeerMembership::leave(TimePoint now) -> OutgoingMessages
{
    OutgoingMessages messages;
    this->present = now;
    this->own.state = PeerState::Left;
    this->probes.clear();
    this->spread(this->own.id);
    this->lastGossip = {};
    this->gossip(now, messages);
    return messages;
}

auto PeerMembership::setConfigurationRevision(std::uint64_t revision, TimePoint now) -> void
{
    this->own.configurationRevision = std::max(this->own.configurationRevision, revision);
    this->setNewestRevision(revision, now);
}

auto PeerMembership::setNewestRevision(std::uint64_t revision, TimePoint now) -> void
{
    if (revision <= this->newest)
        return;
    this->newest = revision;
    this->confirmationsUntil = now + confirmationTime;
}

auto PeerMembership::changeState(Peer& peer, PeerState state, TimePoint now) -> void
{
    const auto wasLive = isLive(peer.state);
    peer.state = state;
    if (wasLive != isLive(state)) {
        this->liveHash ^= hash64(peer.id);
        this->liveCount = isLive(state) ? this->liveCount + 1 : this->liveCount - 1;
        this->timings[peer.id].endedSince = now;
    }
    if (state == PeerState::Suspect)
        this->timings[peer.id].suspectSince = now;
    if (state == PeerState::Dead)
        ++this->totals.deaths;
    this->spread(peer.id);
    ++this->changeCount;
}

auto PeerMembership::spread(const std::string& id) -> void
{
    this->news[id] = this->transmitLimit();
    this->hasFreshNews = true;
}

auto PeerMembership::transmitLimit() const -> int
{
    return transmitFactor * static_cast<int>(std::bit_width(this->liveCount + 1));
}

auto PeerMembership::makeMessage(PeerMessageKind kind, TimePoint now) -> PeerMessage
{
    PeerMessage message;
    message.kind = kind;
    message.sender = this->own.id;
    message.liveHash = this->liveHash;
    message.ownRevision = this->own.configurationRevision;
    message.newestRevision = this->newest;
    if (now < this->confirmationsUntil)
        message.confirmations = this->confirmations();
    return message;
}

/** Adds the news that were sent least often, up to \a limit records. */
auto PeerMembership::addNews(PeerMessage& message, std::size_t limit, TimePoint now) -> void
{
    std::vector<std::pair<int, std::string>> order;
    order.reserve(this->news.size());
    for (const auto& [id, left] : this->news)
        order.emplace_back(left, id);
    const auto count = std::min(limit, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end(), std::greater<>());
    order.resize(count);
    for (const auto& [left, id] : order) {
        if (const auto* record = this->recordOf(id))
            message.records.push_back(*record);
        if (left <= 1)
            this->news.erase(id);
        else
            this->news[id] = left - 1;
    }
    this->addNotices(message, now);
}

auto PeerMembership::addNotices(PeerMessage& message, TimePoint now) -> void
{
    for (auto entry = this->noticeNews.begin(); entry != this->noticeNews.end() && message.notices.size() < PeerLimits::notices;) {
        const auto found = this->knownNotices.find(entry->first);
        if (found != this->knownNotices.end()) {
            const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(found->second.deadline - now);
            message.notices.push_back({ entry->first, std::clamp<std::chrono::milliseconds>(remaining, 0ms, 1h) });
        }
        entry = --entry->second <= 0 || found == this->knownNotices.end() ? this->noticeNews.erase(entry) : std::next(entry);
    }
}

/** Adds the next live peer in turn, so that news that was lost comes through in the end. */
auto PeerMembership::addBackgroundRecord(PeerMessage& message) -> void
{
    auto next = this->known.upper_bound(this->backgroundCursor);
    while (next != this->known.end() && !isLive(next->second.state))
        ++next;
    this->backgroundCursor = next == this->known.end() ? "" : next->first;
    message.records.push_back(next == this->known.end() ? this->own : next->second);
}

auto PeerMembership::confirmations() -> std::vector<std::uint8_t>
{
    std::vector<std::uint8_t> bits(this->liveCount / bitsPerByte + 1, 0);
    std::size_t index = 0;
    for (const auto* peer : this->liveInOrder()) {
        if (peer->configurationRevision >= this->newest)
            bits[index / bitsPerByte] |= static_cast<std::uint8_t>(1U << (index % bitsPerByte));
        ++index;
    }
    return bits;
}

/** Returns the live nodes, this one among them, in order of id: the same on all nodes whose live hashes are equal. */
auto PeerMembership::liveInOrder() -> std::vector<Peer*>
{
    std::vector<Peer*> live;
    live.reserve(this->liveCount + 1);
    for (auto& [id, peer] : this->known) {
        if (isLive(peer.state))
            live.push_back(&peer);
    }
    const auto place = std::lower_bound(live.begin(), live.end(), this->own.id, [](const Peer* peer, const std::string& id) { return peer->id < id; });
    live.insert(place, &this->own);
    return live;
}

auto PeerMembership::recordOf(const std::string& id) const -> const Peer*
{
    if (id == this->own.id)
        return &this->own;
    const auto found = this->known.find(id);
    return found == this->known.end() ? nullptr : &found->second;
}

auto PeerMembership::randomLivePeers(std::size_t count, const std::string& except) -> std::vector<const Peer*>
{
    std::vector<const Peer*> live;
    for (const auto& [id, peer] : this->known) {
        if (peer.state == PeerState::Alive && id != except)
            live.push_back(&peer);
    }
    std::vector<const Peer*> chosen;
    std::sample(live.begin(), live.end(), std::back_inserter(chosen), count, this->generator);
    std::shuffle(chosen.begin(), chosen.end(), this->generator);
    return chosen;
}

} // namespace Primrosefork
