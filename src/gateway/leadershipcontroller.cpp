#include "leadershipcontroller.h"

#include "errors.h"
#include "eventlog.h"
#include "hash.h"

#include <nlohmann/json.hpp>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto leaderKey = "primrosefork/leader";
constexpr int proofDivisor = 2; ///< Part of the lease in which a leader that is heard nothing of is looked for in the store.
constexpr int renewalsPerLease = 4; ///< Three may fail before the lease lapses.
constexpr double safePart = 0.8; ///< Of the lease in which the leader acts; the rest covers clocks that run apart and calls under way.
constexpr std::chrono::milliseconds longestStagger = 400ms; ///< Keeps nodes from standing all at once.
constexpr std::chrono::milliseconds standAgain = 1s; ///< After a try that the store did not answer.

auto readText(const nlohmann::json& json, const char* name) -> std::string
{
    return json.is_object() && json.contains(name) && json[name].is_string() ? json[name].get<std::string>() : std::string();
}

} // namespace

LeadershipController::LeadershipController(
    EventLoop& loop, KeyValueStore& store, const GatewaySettings& settings, GatewayBoard& board, const EventLog& log)
    : store(store)
    , settings(settings)
    , log(log)
    , leadership(board.leadership.acquireWriter("LeadershipController"))
    , watcher(loop, store, log, leaderKey,
          { [this](const StoreListing& listing) { listing.entries.empty() ? this->keyGone() : this->keyShown(listing.entries.back()); },
              [this](const StoreListing& listing) { listing.entries.back().isDeleted ? this->keyGone() : this->keyShown(listing.entries.back()); } },
          { 0ms, settings.bounds.leadership / proofDivisor })
    , candidacyTimer(loop, [this] { this->stand(); })
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

auto LeadershipController::begin() -> void
{
    this->watcher.begin();
}

auto LeadershipController::keyValue() const -> std::string
{
    const nlohmann::json value { { "id", this->settings.id }, { "address", this->settings.peers.toString() }, { "incarnation", this->incarnation } };
    return value.dump();
}

auto LeadershipController::leaseEnd(BootClock::time_point counted) const -> BootClock::time_point
{
    return counted + std::chrono::duration_cast<BootClock::duration>(safePart * this->settings.bounds.leadership);
}

auto LeadershipController::keyShown(const StoreEntry& entry) -> void
{
    this->candidacyTimer.stop();
    const auto json = nlohmann::json::parse(entry.value, nullptr, false);
    const auto isOwnKey = readText(json, "incarnation") == this->incarnation;
    if (isOwnKey && (this->leadership.value().isOwn || this->isStanding))
        return;
    if (isOwnKey) {
        // A take whose answer was lost went through after all; nobody renews it.
        return this->scheduleCandidacy();
    }
    if (this->leadership.value().isOwn)
        this->stepDown("another node took the leadership");
    if (readText(json, "id") == this->settings.id && readText(json, "address") == this->settings.peers.toString()) {
        // The process before this one led; it has ended, so its lease need not be waited for.
        this->ownEarlier = entry.revision;
        return this->scheduleCandidacy();
    }
    this->ownEarlier = 0;
    Leadership current;
    current.leaderId = readText(json, "id");
    current.leaderAddress = parseAddress(readText(json, "address")).value_or(Address {});
    if (current.leaderId != this->leadership.value().leaderId)
        this->log.write(Event::LeaderChanged, { { "leader", current.leaderId }, { "revision", std::to_string(entry.revision) } });
    this->leadership.write(std::move(current));
}

auto LeadershipController::keyGone() -> void
{
    if (this->leadership.value().isOwn)
        this->stepDown("the lease lapsed");
    this->ownEarlier = 0;
    this->leadership.write({});
    this->scheduleCandidacy();
}

auto LeadershipController::scheduleCandidacy() -> void
{
    if (this->hasLeft)
        return;
    this->candidacyTimer.start(std::chrono::milliseconds(this->random() % static_cast<std::uint64_t>(longestStagger.count())));
}

auto LeadershipController::stand() -> void
{
    if (this->isStanding || this->hasLeft || this->leadership.value().isOwn)
        return;
    this->isStanding = true;
    const auto asked = BootClock::now();
    this->store.grantLease(this->settings.bounds.leadership, [this, asked, alive = this->isAlive](std::error_code error, LeaseId granted) {
        if (!*alive)
            return;
        if (error) {
            this->isStanding = false;
            return this->candidacyTimer.start(standAgain);
        }
        this->takeKey(granted, asked);
    });
}

auto LeadershipController::takeKey(LeaseId granted, BootClock::time_point asked) -> void
{
    this->lease = granted;
    this->store.compareAndSwap({ leaderKey, this->ownEarlier, this->keyValue(), granted }, [this, asked, alive = this->isAlive](std::error_code error, const StoreSwapResult& result) {
        if (!*alive)
            return;
        if (error)
            return this->settleTake(asked);
        this->isStanding = false;
        if (result.isSwapped)
            return this->become(result.current.revision, asked);
        this->keyShown(result.current);
    });
}

auto LeadershipController::settleTake(BootClock::time_point asked) -> void
{
    // The answer was lost: the key itself says who has it.
    this->store.get(leaderKey, [this, asked, alive = this->isAlive](std::error_code error, const std::optional<StoreEntry>& entry) {
        if (!*alive)
            return;
        this->isStanding = false;
        if (error || !entry)
            return this->candidacyTimer.start(standAgain);
        const auto json = nlohmann::json::parse(entry->value, nullptr, false);
        if (readText(json, "incarnation") == this->incarnation && BootClock::now() < this->leaseEnd(asked))
            return this->become(entry->revision, asked);
        this->keyShown(*entry);
    });
}

auto LeadershipController::become(StoreRevision fence, BootClock::time_point granted) -> void
{
    if (this->hasLeft)
        return;
    this->ownEarlier = 0;
    this->log.write(Event::LeadershipTaken, { { "fence", std::to_string(fence) } });
    this->leadership.write({ this->settings.id, this->settings.peers, true, fence, this->leaseEnd(granted) });
    this->renewTimer.start(this->settings.bounds.leadership / renewalsPerLease);
}

auto LeadershipController::renew() -> void
{
    if (!this->leadership.value().isOwn)
        return;
    if (BootClock::now() >= this->leadership.value().validUntil + (this->settings.bounds.leadership - std::chrono::duration_cast<BootClock::duration>(safePart * this->settings.bounds.leadership)))
        return this->stepDown("the lease could not be renewed in time");
    const auto asked = BootClock::now();
    this->store.renewLease(this->lease, [this, asked, used = this->lease, alive = this->isAlive](std::error_code error) {
        if (!*alive || !this->leadership.value().isOwn || used != this->lease)
            return;
        if (error == Error::NotFound)
            return this->stepDown("the lease lapsed");
        if (error)
            return;
        auto current = this->leadership.value();
        current.validUntil = this->leaseEnd(asked);
        this->leadership.write(std::move(current));
        this->watcher.proved();
    });
    this->renewTimer.start(this->settings.bounds.leadership / renewalsPerLease);
}

auto LeadershipController::stepDown(const char* reason) -> void
{
    this->renewTimer.stop();
    this->log.write(Event::LeadershipLost, { { "fence", std::to_string(this->leadership.value().fence) }, { "reason", reason } });
    this->leadership.write({});
    this->candidacyTimer.start(standAgain);
}

auto LeadershipController::superseded() -> void
{
    if (this->leadership.value().isOwn)
        this->stepDown("a newer leader has acted");
}

auto LeadershipController::leave() -> void
{
    this->hasLeft = true;
    this->candidacyTimer.stop();
    this->renewTimer.stop();
    if (!this->leadership.value().isOwn)
        return;
    this->log.write(Event::LeadershipLost, { { "fence", std::to_string(this->leadership.value().fence) }, { "reason", "the node leaves" } });
    this->leadership.write({});
    this->store.revokeLease(this->lease, [](std::error_code) {});
}

auto LeadershipController::dumpState() const -> nlohmann::json
{
    const auto& current = this->leadership.value();
    return { { "leader", current.leaderId }, { "is_own", current.isOwn }, { "fence", current.fence } };
}

} // namespace Primrosefork
