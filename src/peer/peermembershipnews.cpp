#include "peermembership.h"

#include "hash.h"

#include <algorithm>
#include <bit>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr int transmitFactor = 3; ///< Times the logarithm of the number of nodes.
constexpr auto confirmationTime = 10s; ///< How long confirmations travel after a change.
constexpr auto noticeRetention = 60s; ///< After the deadline of a notice.
constexpr std::size_t maxNotices = 512;
constexpr std::size_t maxPeers = PeerLimits::confirmationBytes * 8 - 1;
constexpr std::size_t bitsPerByte = 8;

/** Whether \a record says something newer than \a current does. */
auto isNewer(const Peer& record, const Peer& current) -> bool
{
    if (record.incarnation != current.incarnation)
        return record.incarnation > current.incarnation;
    return record.state > current.state;
}

} // namespace

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
