#include "peermembership.h"

#include "hash.h"

#include <algorithm>
#include <bit>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr int transmitFactor = 3; ///< Transmissions of an update per bit of the number of live nodes.
constexpr auto confirmationTime = 10s; ///< Time for which confirmations are sent after a configuration change.
constexpr auto noticeRetention = 60s; ///< Time for which a notice is kept after its deadline.
constexpr std::size_t maxNotices = 512;
constexpr std::size_t maxPeers = PeerLimits::confirmationBytes * 8 - 1;
constexpr std::size_t bitsPerByte = 8;

/** Returns whether \a record supersedes \a current. */
auto isNewer(const Peer& record, const Peer& current) -> bool
{
    if (record.incarnation != current.incarnation)
        return record.incarnation > current.incarnation;
    return record.state > current.state;
}

} // namespace

auto PeerMembership::mergeRecord(const Peer& record, TimePoint now) -> void
{
    if (record.id == this->ownRecord.id)
        return this->mergeOwnRecord(record);
    const auto found = this->knownPeers.find(record.id);
    if (found == this->knownPeers.end())
        return this->addPeer(record, now);
    auto& current = found->second;
    if (isNewer(record, current)) {
        // A death without a preceding suspicion may be outdated: the peer is suspected first, so that it has time to refute.
        const auto isUnsuspectedDeath = record.state == PeerState::Dead && current.state == PeerState::Alive;
        const auto state = current.state;
        const auto revision = record.incarnation == current.incarnation ? current.configurationRevision : 0;
        current = record;
        current.state = state;
        current.configurationRevision = std::max(record.configurationRevision, revision);
        this->changeState(current, isUnsuspectedDeath ? PeerState::Suspect : record.state, now);
    } else if (record.incarnation == current.incarnation) {
        this->raiseRevision(current, record.configurationRevision);
        if (record.state == current.state)
            this->countRedundantUpdate(record.id);
    }
}

/** Reduces the remaining transmissions of an update that was received again, because other nodes send it as well. */
auto PeerMembership::countRedundantUpdate(const std::string& id) -> void
{
    const auto found = this->pendingUpdates.find(id);
    if (found != this->pendingUpdates.end() && --found->second <= 0)
        this->pendingUpdates.erase(found);
}

auto PeerMembership::addPeer(const Peer& record, TimePoint now) -> void
{
    if (!isLive(record.state) || this->knownPeers.size() >= maxPeers)
        return;
    auto& added = this->knownPeers[record.id];
    added = record;
    added.state = PeerState::Dead;
    this->changeState(added, record.state, now);
    // Uses a random position in the order, so that not all nodes probe a new peer at the same time.
    const auto remainingCount = this->probeOrder.size() - this->nextProbeIndex;
    const auto position = this->nextProbeIndex + std::uniform_int_distribution<std::size_t>(0, remainingCount)(this->generator);
    this->probeOrder.insert(this->probeOrder.begin() + static_cast<std::ptrdiff_t>(position), record.id);
}

auto PeerMembership::mergeOwnRecord(const Peer& record) -> void
{
    const auto isContradicted = record.state != PeerState::Alive && record.incarnation >= this->ownRecord.incarnation;
    const auto isFromLaterStart = record.incarnation > this->ownRecord.incarnation;
    if (this->ownRecord.state == PeerState::Left || (!isContradicted && !isFromLaterStart))
        return;
    this->ownRecord.incarnation = record.incarnation + 1;
    ++this->totals.refutations;
    this->enqueueUpdate(this->ownRecord.id);
}

auto PeerMembership::mergeRevisions(const PeerMessage& message, TimePoint now) -> void
{
    this->setNewestRevision(std::max(message.newestRevision, message.ownRevision), now);
    const auto sender = this->knownPeers.find(message.sender);
    if (sender != this->knownPeers.end())
        this->raiseRevision(sender->second, message.ownRevision);
    if (message.newestRevision != this->newestKnownRevision || message.liveHash != this->liveHash)
        return;
    std::size_t index = 0;
    for (auto* peer : this->sortedLivePeers()) {
        const auto byte = index / bitsPerByte;
        if (peer != &this->ownRecord && byte < message.confirmations.size() && (message.confirmations[byte] >> (index % bitsPerByte) & 1U) != 0)
            this->raiseRevision(*peer, this->newestKnownRevision);
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

auto PeerMembership::mergeNotice(const PeerNotice& notice, TimePoint now) -> void
{
    if (this->knownNotices.contains(notice.instanceId) || this->knownNotices.size() >= maxNotices)
        return;
    this->announceNotice(notice.instanceId, now + notice.remaining, now);
}

auto PeerMembership::announceNotice(const std::string& instanceId, TimePoint deadline, TimePoint now) -> void
{
    if (deadline + noticeRetention < now || !this->knownNotices.try_emplace(instanceId, ReclaimNotice { instanceId, deadline }).second)
        return;
    this->pendingNotices[instanceId] = this->transmitLimit();
    this->hasNewUpdates = true;
    ++this->changeCount;
}

auto PeerMembership::leave(TimePoint now) -> OutgoingMessages
{
    OutgoingMessages messages;
    this->currentTime = now;
    this->ownRecord.state = PeerState::Left;
    this->probes.clear();
    this->enqueueUpdate(this->ownRecord.id);
    this->lastGossip = {};
    this->gossip(now, messages);
    return messages;
}

auto PeerMembership::setConfigurationRevision(std::uint64_t revision, TimePoint now) -> void
{
    this->ownRecord.configurationRevision = std::max(this->ownRecord.configurationRevision, revision);
    this->setNewestRevision(revision, now);
}

auto PeerMembership::setNewestRevision(std::uint64_t revision, TimePoint now) -> void
{
    if (revision <= this->newestKnownRevision)
        return;
    this->newestKnownRevision = revision;
    this->confirmationsUntil = now + confirmationTime;
}

auto PeerMembership::changeState(Peer& peer, PeerState state, TimePoint now) -> void
{
    const auto wasLive = isLive(peer.state);
    peer.state = state;
    if (wasLive != isLive(state)) {
        this->liveHash ^= hash64(peer.id);
        this->liveCount = isLive(state) ? this->liveCount + 1 : this->liveCount - 1;
        this->timings[peer.id].livenessChange = now;
    }
    if (state == PeerState::Suspect)
        this->timings[peer.id].suspectSince = now;
    if (state == PeerState::Dead)
        ++this->totals.deaths;
    this->enqueueUpdate(peer.id);
    ++this->changeCount;
}

auto PeerMembership::enqueueUpdate(const std::string& id) -> void
{
    this->pendingUpdates[id] = this->transmitLimit();
    this->hasNewUpdates = true;
}

auto PeerMembership::transmitLimit() const -> int
{
    return transmitFactor * static_cast<int>(std::bit_width(this->liveCount + 1));
}

auto PeerMembership::makeMessage(PeerMessageKind kind, TimePoint now) -> PeerMessage
{
    PeerMessage message;
    message.kind = kind;
    message.sender = this->ownRecord.id;
    message.liveHash = this->liveHash;
    message.ownRevision = this->ownRecord.configurationRevision;
    message.newestRevision = this->newestKnownRevision;
    if (now < this->confirmationsUntil)
        message.confirmations = this->confirmations();
    return message;
}

/** Adds up to \a limit pending updates, those with the most remaining transmissions first, and pending notices. */
auto PeerMembership::addPendingUpdates(PeerMessage& message, std::size_t limit, TimePoint now) -> void
{
    std::vector<std::pair<int, std::string>> order;
    order.reserve(this->pendingUpdates.size());
    for (const auto& [id, remainingCount] : this->pendingUpdates)
        order.emplace_back(remainingCount, id);
    const auto count = std::min(limit, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end(), std::greater<>());
    order.resize(count);
    for (const auto& [remainingCount, id] : order) {
        if (const auto* record = this->recordOf(id))
            message.records.push_back(*record);
        if (remainingCount <= 1)
            this->pendingUpdates.erase(id);
        else
            this->pendingUpdates[id] = remainingCount - 1;
    }
    this->addPendingNotices(message, now);
}

auto PeerMembership::addPendingNotices(PeerMessage& message, TimePoint now) -> void
{
    for (auto entry = this->pendingNotices.begin(); entry != this->pendingNotices.end() && message.notices.size() < PeerLimits::notices;) {
        const auto found = this->knownNotices.find(entry->first);
        if (found != this->knownNotices.end()) {
            const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(found->second.deadline - now);
            message.notices.push_back({ entry->first, std::clamp<std::chrono::milliseconds>(remaining, 0ms, 1h) });
        }
        entry = --entry->second <= 0 || found == this->knownNotices.end() ? this->pendingNotices.erase(entry) : std::next(entry);
    }
}

/** Adds the record of the next live peer in turn, so that lost updates are delivered eventually. */
auto PeerMembership::addBackgroundRecord(PeerMessage& message) -> void
{
    auto next = this->knownPeers.upper_bound(this->backgroundCursor);
    while (next != this->knownPeers.end() && !isLive(next->second.state))
        ++next;
    this->backgroundCursor = next == this->knownPeers.end() ? "" : next->first;
    message.records.push_back(next == this->knownPeers.end() ? this->ownRecord : next->second);
}

auto PeerMembership::confirmations() -> std::vector<std::uint8_t>
{
    std::vector<std::uint8_t> bits(this->liveCount / bitsPerByte + 1, 0);
    std::size_t index = 0;
    for (const auto* peer : this->sortedLivePeers()) {
        if (peer->configurationRevision >= this->newestKnownRevision)
            bits[index / bitsPerByte] |= static_cast<std::uint8_t>(1U << (index % bitsPerByte));
        ++index;
    }
    return bits;
}

/** Returns the live nodes, including this one, ordered by id. The order is the same on all nodes with equal live hashes. */
auto PeerMembership::sortedLivePeers() -> std::vector<Peer*>
{
    std::vector<Peer*> live;
    live.reserve(this->liveCount + 1);
    for (auto& [id, peer] : this->knownPeers) {
        if (isLive(peer.state))
            live.push_back(&peer);
    }
    const auto position = std::lower_bound(live.begin(), live.end(), this->ownRecord.id, [](const Peer* peer, const std::string& id) { return peer->id < id; });
    live.insert(position, &this->ownRecord);
    return live;
}

auto PeerMembership::recordOf(const std::string& id) const -> const Peer*
{
    if (id == this->ownRecord.id)
        return &this->ownRecord;
    const auto found = this->knownPeers.find(id);
    return found == this->knownPeers.end() ? nullptr : &found->second;
}

auto PeerMembership::randomAlivePeers(std::size_t count, const std::string& except) -> std::vector<const Peer*>
{
    std::vector<const Peer*> live;
    for (const auto& [id, peer] : this->knownPeers) {
        if (peer.state == PeerState::Alive && id != except)
            live.push_back(&peer);
    }
    std::vector<const Peer*> chosen;
    std::sample(live.begin(), live.end(), std::back_inserter(chosen), count, this->generator);
    std::shuffle(chosen.begin(), chosen.end(), this->generator);
    return chosen;
}

} // namespace Primrosefork
