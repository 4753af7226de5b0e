#include "leadershipcontroller.h"

#include "errors.h"
#include "eventlog.h"
#include "hash.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto leaderKey = "primrosefork/leader";
constexpr int stallTimeoutDivisor = 2; ///< The watch of the key is restarted after this part of the lease without an answer of the leader or the store.
constexpr int renewalsPerLease = 4; ///< Three renewals may fail before the lease expires.
constexpr double usableLeasePart = 0.8; ///< Fraction of the lease in which the leader acts; the rest covers clock drift and calls in flight.
constexpr std::chrono::milliseconds maxCandidacyDelay = 200ms; ///< Upper bound of the random delay that keeps nodes from campaigning all at once.
constexpr std::chrono::milliseconds processorDelay = 200ms; ///< Additional delay of a node with hardly any processor, which lets larger nodes lead.
constexpr std::chrono::milliseconds relayedCandidacyDelay = 1'500ms; ///< Additional delay of nodes that are not observers, which campaign only when no observer does.
constexpr std::chrono::milliseconds maxRelayedCandidacyDelay = 2s; ///< Upper bound of their random delay; wider because they are many.
constexpr std::chrono::milliseconds ownKeyDelay = 20ms; ///< Delay of the holder of a key, which keeps its accounts when it leads again.
constexpr std::chrono::milliseconds lostLeaseDelay = 600ms; ///< Additional delay of the others when the lease of a key was lost with a restoration of the store.
constexpr std::chrono::milliseconds campaignRetryDelay = 1s; ///< Delay before campaigning again, after a failed attempt or the loss of the leadership.

auto readText(const nlohmann::json& json, const char* name) -> std::string
{
    return json.is_object() && json.contains(name) && json[name].is_string() ? json[name].get<std::string>() : std::string();
}

/** Returns whether the lease of a leader's key with \a revision and the value \a json was lost with a restoration of the store, so that nothing removes the key. */
auto isLeaseLost(const nlohmann::json& json, StoreRevision revision) -> bool
{
    return json.is_object() && json.contains("epoch") && json["epoch"].is_number_unsigned() && json["epoch"].get<StoreEpoch>() < epochOf(revision);
}

} // namespace

LeadershipController::LeadershipController(
    EventLoop& loop, KeyValueStore& store, const GatewaySettings& settings, GatewayBoard& board, const EventLog& log)
    : store(store)
    , settings(settings)
    , board(board)
    , log(log)
    , leadership(board.leadership.acquireWriter("LeadershipController"))
    , watcher(loop, store, log, leaderKey,
          { [this](const StoreListing& listing) { listing.entries.empty() ? this->leaderKeyRemoved() : this->leaderKeyRead(listing.entries.back()); },
              [this](const StoreListing& listing) { listing.entries.back().isDeleted ? this->leaderKeyRemoved() : this->leaderKeyRead(listing.entries.back()); } },
          { 0ms, settings.bounds.leadership / stallTimeoutDivisor })
    , candidacyTimer(loop, [this] { this->campaign(); })
    , renewTimer(loop, [this] { this->renew(); })
    , random(static_cast<std::minstd_rand::result_type>(hash64(settings.id + randomHex(8))))
    , incarnation(randomHex(8))
    , isAlive(std::make_shared<bool>(true))
{
}

LeadershipController::~LeadershipController()
{
    *this->isAlive = false;
}

auto LeadershipController::beginWith(const StoreListing& listing, BootClock::time_point requestedAt) -> void
{
    auto own = listing;
    std::erase_if(own.entries, [](const auto& entry) { return entry.key != leaderKey; });
    this->watcher.beginWith(own, requestedAt);
}

auto LeadershipController::leaderAnswered(std::uint64_t term) -> void
{
    if (term != 0 && term == this->leadership.value().term)
        this->watcher.confirmUpToDate(BootClock::now());
}

auto LeadershipController::keyValue() const -> std::string
{
    const nlohmann::json value { { "id", this->settings.id }, { "address", this->settings.peers.toString() }, { "incarnation", this->incarnation }, { "epoch", this->store.currentEpoch() }, { "lease", this->lease } };
    return value.dump();
}

auto LeadershipController::isKeyOfAttempt(const StoreEntry& entry) const -> bool
{
    return entry.value == this->keyValue();
}

auto LeadershipController::leaseEnd(BootClock::time_point leaseStart) const -> BootClock::time_point
{
    return leaseStart + std::chrono::duration_cast<BootClock::duration>(usableLeasePart * this->settings.bounds.leadership);
}

auto LeadershipController::leaderKeyRead(const StoreEntry& entry) -> void
{
    this->candidacyTimer.stop();
    const auto json = nlohmann::json::parse(entry.value, nullptr, false);
    const auto isOwnKey = readText(json, "incarnation") == this->incarnation;
    if (isOwnKey && (this->leadership.value().isOwn || this->isCampaigning))
        return;
    if (isOwnKey) {
        // This process acquired the key with a write whose answer was lost, or has stepped down since. No other
        // process can hold it, so it is replaced without waiting for its lease to expire.
        this->previousKeyRevision = entry.revision;
        return this->scheduleCandidacy(ownKeyDelay);
    }
    this->ownKey = 0;
    if (this->leadership.value().isOwn)
        this->stepDown("another node took the leadership");
    if (readText(json, "id") == this->settings.id && readText(json, "address") == this->settings.peers.toString()) {
        // An earlier process of this node led. It has ended, so the key is replaced without waiting for its lease to expire.
        this->previousKeyRevision = entry.revision;
        return this->scheduleCandidacy(this->candidacyDelay());
    }
    if (isLeaseLost(json, entry.revision)) {
        this->previousKeyRevision = entry.revision;
        this->publishVacancy(true);
        return this->scheduleCandidacy(lostLeaseDelay + this->candidacyDelay());
    }
    this->previousKeyRevision = 0;
    Leadership current;
    current.leaderId = readText(json, "id");
    current.leaderAddress = parseAddress(readText(json, "address")).value_or(Address {});
    current.coordinatorAddress = current.leaderAddress;
    current.term = entry.revision;
    if (current.term != this->leadership.value().term)
        this->log.write(Event::LeaderChanged, { { "leader", current.leaderId }, { "revision", std::to_string(entry.revision) } });
    this->candidacyTimer.stop();
    this->leadership.write(std::move(current));
}

auto LeadershipController::leaderKeyRemoved() -> void
{
    if (this->leadership.value().isOwn)
        this->stepDown("the lease expired");
    this->previousKeyRevision = 0;
    this->publishVacancy(true);
    this->scheduleCandidacy(this->candidacyDelay());
}

auto LeadershipController::scheduleCandidacy(std::chrono::milliseconds delay) -> void
{
    if (!this->hasResigned)
        this->candidacyTimer.start(delay);
}

auto LeadershipController::storeRestored(StoreEpoch epoch) -> void
{
    if (!this->leadership.value().isOwn)
        return;
    const auto number = numberOf(this->leadership.value().fence);
    const auto wasHeld = this->ownKey != 0 && !this->isLeaseOver();
    this->stepDown("the store was restored");
    // While the lease held, no other node can have led before the restoration.
    this->ownKey = wasHeld ? inEpoch(epoch, number) : 0;
}

auto LeadershipController::leaseConfirmed(BootClock::time_point leaseStart) -> void
{
    this->leaseExpiry = std::max(this->leaseExpiry, leaseStart + this->settings.bounds.leadership);
}

auto LeadershipController::isContinued(StoreRevision replaced) const -> bool
{
    if (replaced != 0)
        return replaced == this->ownKey;
    // The key ended with its lease. Another node that took it meanwhile would hold it still.
    return this->ownKey != 0 && BootClock::now() < this->leaseExpiry + this->settings.bounds.leadership;
}

auto LeadershipController::candidacyDelay() -> std::chrono::milliseconds
{
    const auto isObserver = this->board.isObserver();
    const auto range = isObserver ? maxCandidacyDelay : maxRelayedCandidacyDelay;
    const auto randomDelay = std::chrono::milliseconds(this->random() % static_cast<std::uint64_t>(range.count()));
    const auto processorPart = 1 - std::min(1.0, this->settings.processorShare);
    return randomDelay + std::chrono::duration_cast<std::chrono::milliseconds>(processorPart * processorDelay) + (isObserver ? 0ms : relayedCandidacyDelay);
}

auto LeadershipController::campaign() -> void
{
    if (this->isCampaigning || this->hasResigned || this->leadership.value().isOwn)
        return;
    this->isCampaigning = true;
    const auto requestedAt = BootClock::now();
    this->store.grantLease(this->settings.bounds.leadership, [this, requestedAt, alive = this->isAlive](std::error_code error, LeaseId grantedLease) {
        if (!*alive)
            return;
        if (error) {
            this->isCampaigning = false;
            return this->candidacyTimer.start(campaignRetryDelay);
        }
        this->acquireKey(grantedLease, requestedAt);
    });
}

auto LeadershipController::acquireKey(LeaseId grantedLease, BootClock::time_point requestedAt) -> void
{
    this->lease = grantedLease;
    const auto replaced = this->previousKeyRevision;
    this->store.compareAndSwap({ leaderKey, replaced, this->keyValue(), grantedLease }, [this, replaced, requestedAt, alive = this->isAlive](std::error_code error, const StoreSwapResult& result) {
        if (!*alive)
            return;
        if (error)
            return this->resolveAcquisition(replaced, requestedAt);
        this->isCampaigning = false;
        if (result.isSwapped)
            return this->becomeLeader(result.current.revision, replaced, requestedAt);
        if (result.current.revision == 0)
            return this->leaderKeyRemoved();
        this->leaderKeyRead(result.current);
    });
}

auto LeadershipController::resolveAcquisition(StoreRevision replaced, BootClock::time_point requestedAt) -> void
{
    // The answer was lost: the value of the key shows which attempt of which node acquired it.
    this->store.get(leaderKey, [this, replaced, requestedAt, alive = this->isAlive](std::error_code error, const std::optional<StoreEntry>& entry) {
        if (!*alive)
            return;
        this->isCampaigning = false;
        if (error || !entry)
            return this->candidacyTimer.start(campaignRetryDelay);
        // A key of an earlier attempt of this process is bound to another lease, which is not renewed.
        if (this->isKeyOfAttempt(*entry) && BootClock::now() < this->leaseEnd(requestedAt))
            return this->becomeLeader(entry->revision, replaced, requestedAt);
        this->leaderKeyRead(*entry);
        // The store does not carry out writes at present.
        if (this->candidacyTimer.isRunning())
            this->scheduleCandidacy(campaignRetryDelay);
    });
}

auto LeadershipController::becomeLeader(StoreRevision fence, StoreRevision replaced, BootClock::time_point requestedAt) -> void
{
    if (this->hasResigned)
        return;
    if (!this->isContinued(replaced) || epochOf(fence) != epochOf(this->ownKey))
        this->coordinationFence = fence;
    this->ownKey = fence;
    this->leaseConfirmed(requestedAt);
    this->previousKeyRevision = 0;
    this->log.write(Event::LeadershipTaken, { { "fence", std::to_string(fence) }, { "continues", std::to_string(this->coordinationFence) } });
    Leadership own { this->settings.id, this->settings.peers, true, fence, fence, this->leaseEnd(requestedAt), this->settings.peers, true };
    own.coordinationFence = this->coordinationFence;
    this->leadership.write(std::move(own));
    this->renewTimer.start(this->settings.bounds.leadership / renewalsPerLease);
}

auto LeadershipController::renew() -> void
{
    if (!this->leadership.value().isOwn)
        return;
    if (this->isLeaseOver())
        return this->stepDown("the lease could not be renewed in time");
    const auto requestedAt = BootClock::now();
    this->store.renewLease(this->lease, [this, requestedAt, usedLease = this->lease, alive = this->isAlive](std::error_code error) {
        if (!*alive || !this->leadership.value().isOwn || usedLease != this->lease)
            return;
        if (error == Error::NotFound)
            return this->stepDown("the lease expired");
        if (error)
            return;
        auto current = this->leadership.value();
        current.validUntil = this->leaseEnd(requestedAt);
        this->leaseConfirmed(requestedAt);
        this->leadership.write(std::move(current));
        this->watcher.confirmUpToDate(requestedAt);
    });
    this->renewTimer.start(this->settings.bounds.leadership / renewalsPerLease);
}

auto LeadershipController::stepDown(const char* reason) -> void
{
    this->renewTimer.stop();
    this->log.write(Event::LeadershipLost, { { "fence", std::to_string(this->leadership.value().fence) }, { "reason", reason } });
    this->previousKeyRevision = this->leadership.value().fence;
    this->publishVacancy(true);
    this->candidacyTimer.start(campaignRetryDelay);
}

auto LeadershipController::publishVacancy(bool keepsCoordinator) -> void
{
    const auto& last = this->leadership.value();
    Leadership vacancy;
    if (keepsCoordinator && last.coordinatorAddress.port != 0) {
        vacancy.coordinatorAddress = last.coordinatorAddress;
        vacancy.isCoordinator = last.isCoordinator;
        vacancy.fence = last.fence;
        vacancy.coordinationFence = last.coordinationFence;
        // Without a leader for longer than this, credentials are not confirmed any more and nothing is left to account for.
        vacancy.coordinatesUntil = std::min(last.coordinatesUntil, BootClock::now() + this->settings.bounds.revocation);
    }
    this->leadership.write(std::move(vacancy));
}

auto LeadershipController::superseded() -> void
{
    if (!this->leadership.value().isOwn)
        return;
    this->stepDown("a newer leader exists");
    this->ownKey = 0;
    this->previousKeyRevision = 0;
    this->publishVacancy(false);
}

auto LeadershipController::resign() -> void
{
    this->hasResigned = true;
    this->candidacyTimer.stop();
    this->renewTimer.stop();
    if (!this->leadership.value().isOwn)
        return;
    this->log.write(Event::LeadershipLost, { { "fence", std::to_string(this->leadership.value().fence) }, { "reason", "the node is stopping" } });
    this->publishVacancy(false);
    this->store.revokeLease(this->lease, [](std::error_code) {});
}

auto LeadershipController::dumpState() const -> nlohmann::json
{
    const auto& current = this->leadership.value();
    return { { "leader", current.leaderId }, { "is_own", current.isOwn }, { "fence", current.fence } };
}

} // namespace Primrosefork
