#include "configurationfetcher.h"

#include "configurationcontroller.h"
#include "eventlog.h"
#include "membershipcontroller.h"
#include "nodesettings.h"

#include <iterator>
#include <vector>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto checkPeriod = 200ms;
constexpr auto storeGracePeriod = 1s; ///< How long a reachable store may take to deliver a newer revision before a peer is asked.
constexpr auto fetchPeriod = 1s; ///< Minimum time between the starts of two fetches; after a failure another peer is tried at the next check.

} // namespace

ConfigurationFetcher::ConfigurationFetcher(EventLoop& loop, const NodeSettings& settings, const Blackboard& blackboard, ConfigurationController& configuration,
    const MembershipController& membership, const EventLog& log)
    : settings(settings)
    , blackboard(blackboard)
    , configuration(configuration)
    , membership(membership)
    , log(log)
    , exchange(settings.peerKeys)
    , server(loop, this->exchange, [&configuration](StoreRevision after) { return configuration.recordsAfter(after); })
    , client(loop, this->exchange, settings.id)
    , timer(loop, [this] { this->check(); })
    , generator(std::random_device {}())
{
}

auto ConfigurationFetcher::begin() -> std::error_code
{
    this->timer.startRepeating(checkPeriod);
    return this->server.listen(this->settings.peers);
}

auto ConfigurationFetcher::check() -> void
{
    if (this->membership.newestRevision() <= this->configuration.recordsRevision()) {
        this->behindSince.reset();
        return;
    }
    const auto now = EventLoop::now();
    if (!this->behindSince)
        this->behindSince = now;
    const auto isWaitingForStore = this->configuration.isStoreReachable() && now - *this->behindSince < storeGracePeriod;
    if (!isWaitingForStore && !this->client.isBusy() && now >= this->nextFetch)
        this->fetch(now);
}

auto ConfigurationFetcher::fetch(EventLoop::TimePoint now) -> void
{
    const auto* source = this->chooseSource();
    if (!source) {
        this->failedPeers.clear();
        return;
    }
    this->nextFetch = now + fetchPeriod;
    this->client.fetch(source->address, this->configuration.recordsRevision(),
        [this, id = source->id](std::error_code error, const StoreListing& listing) { this->fetched(id, error, listing); });
}

/** Returns a random live peer with a newer configuration, from the zone of this node when there is one, or null. */
auto ConfigurationFetcher::chooseSource() -> const Peer*
{
    std::vector<const Peer*> near;
    std::vector<const Peer*> far;
    for (const auto& [id, peer] : this->blackboard.peers.value()) {
        if (peer.state != PeerState::Alive || peer.configurationRevision <= this->configuration.recordsRevision() || this->failedPeers.contains(id))
            continue;
        (peer.zone == this->settings.zone ? near : far).push_back(&peer);
    }
    const auto& candidates = near.empty() ? far : near;
    if (candidates.empty())
        return nullptr;
    return candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(this->generator)];
}

auto ConfigurationFetcher::fetched(const std::string& peer, std::error_code error, const StoreListing& listing) -> void
{
    if (error) {
        this->failedPeers.insert(peer);
        this->nextFetch = EventLoop::now();
        this->log.write(Event::ConfigurationFetchFailed, { { "peer", peer }, { "error", error.message() } });
        return;
    }
    this->failedPeers.clear();
    this->log.write(Event::ConfigurationFetched,
        { { "peer", peer }, { "store_revision", std::to_string(listing.revision) }, { "records", std::to_string(listing.entries.size()) } });
    this->configuration.applyFromPeer(listing);
}

} // namespace Primrosefork
