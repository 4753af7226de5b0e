#include "relaycontroller.h"

#include "eventlog.h"
#include "metrics.h"
#include "observerselection.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::milliseconds requestPeriod = 250ms; ///< A small part of the shortest bound for changes.
constexpr std::size_t keptRequests = 8; ///< Requests whose replies are still accepted.
constexpr std::size_t maxPartBytes = 32'768; ///< Changes in one datagram before compression, unless a single one is larger.
constexpr std::size_t maxEntryBytes = 49'152; ///< Largest entry that is relayed; a node reads a larger one from the store.
constexpr std::chrono::milliseconds replyTimeout = 450ms; ///< Time for a reply before the request is repeated, since repeated replies would load a busy observer further.

auto ageAt(BootClock::time_point now, BootClock::time_point moment) -> std::chrono::milliseconds
{
    return std::chrono::ceil<std::chrono::milliseconds>(now - moment);
}

} // namespace

RelayController::RelayController(EventLoop& loop, const GatewaySettings& settings, GatewayBoard& board, Watchers watchers, Metrics& metrics, const EventLog& log)
    : settings(settings)
    , board(board)
    , watchers(watchers)
    , metrics(metrics)
    , log(log)
    , timer(loop, [this] { this->tick(); })
{
    board.observers.changed.connect([this](const Observers& observers) {
        auto others = observers.addresses;
        std::erase(others, this->settings.peers);
        this->preferred = observersByPreference(others, this->settings.id);
        this->selected = 0;
        this->isReplyPending = false;
        this->tick();
        this->updateExpectation();
    });
    board.fleetShare.changed.connect([this](const FleetShare&) { this->updateExpectation(); });
    board.leadership.changed.connect([this](const Leadership&) { this->updateExpectation(); });
    this->updateExpectation();
}

auto RelayController::begin() -> void
{
    this->timer.startRepeating(requestPeriod);
}

auto RelayController::tick() -> void
{
    if (const auto present = this->board.isObserver(); present != this->isObserver)
        this->roleChanged(present);
    const auto now = BootClock::now();
    if (this->preferred.empty() || !this->isFollowing(now)) {
        this->isReplyPending = false;
        return;
    }
    if (this->isReplyPending && now - this->lastRequest < replyTimeout)
        return;
    if (this->isReplyPending) {
        this->log.write(Event::ObserverSilent, { { "observer", this->preferred[this->selected].toString() } });
        this->selectNextObserver();
    } else if (!this->isObserver && this->isBehind(now)) {
        this->selectNextObserver();
    }
    this->sendRequest();
}

auto RelayController::isFollowing(BootClock::time_point now) const -> bool
{
    return !this->isObserver || std::any_of(this->watchers.begin(), this->watchers.end(), [now](const auto* watcher) { return watcher->needsRelay(now); });
}

auto RelayController::isBehind(BootClock::time_point now) const -> bool
{
    return std::any_of(this->watchers.begin(), this->watchers.end(), [now](const auto* watcher) { return watcher->isBehind(now); });
}

auto RelayController::roleChanged(bool present) -> void
{
    this->isObserver = present;
    this->isReplyPending = false;
    this->log.write(Event::ObserverRoleChanged, { { "observer", present ? "yes" : "no" }, { "observers", std::to_string(this->board.observers.value().addresses.size()) } });
    for (auto* watcher : this->watchers)
        watcher->setFollows(!present);
    this->updateExpectation();
}

auto RelayController::updateExpectation() -> void
{
    // A node that starts will hear of the observers with the leader's first answer, unless the fleet is known to be small.
    const auto isStarting = this->board.observers.value().addresses.empty() && !this->board.leadership.value().isOwn && this->board.fleetShare.value().nodes > observerCount;
    const auto present = !this->isObserver || isStarting;
    if (present == std::exchange(this->expectsRelay, present))
        return;
    for (auto* watcher : this->watchers) {
        watcher->setExpectsRelay(present);
        if (!present)
            watcher->stopRelay();
    }
}

auto RelayController::selectNextObserver() -> void
{
    this->isReplyPending = false;
    this->selected = (this->selected + 1) % this->preferred.size();
    this->metrics.count("relay_observer_changes_total");
}

auto RelayController::sendRequest() -> void
{
    RelayRequest request;
    request.number = ++this->number;
    for (const auto* watcher : this->watchers) {
        request.positions.push_back(watcher->newestRevision());
        request.digests.push_back(watcher->changes().digest());
    }
    this->lastRequest = BootClock::now();
    this->sentAt[request.number] = this->lastRequest;
    if (this->sentAt.size() > keptRequests)
        this->sentAt.erase(this->sentAt.begin());
    this->isReplyPending = true;
    this->requestIssued.emit(this->preferred[this->selected], request);
}

auto RelayController::partOf(RelayTopic topic, StoreRevision position, std::uint64_t digest, BootClock::time_point now) const -> std::optional<RelayPart>
{
    const auto& watcher = this->watcher(topic);
    auto changes = watcher.changes().changesAfter(position, maxPartBytes);
    // A node that knows the same entries has missed nothing, even if the log does not reach back to its position.
    if (!changes && position != 0 && watcher.newestRevision() != 0 && digest == watcher.changes().digest())
        changes = ChangeBatch { {}, watcher.newestRevision() };
    if (!changes || std::any_of(changes->entries.begin(), changes->entries.end(), [](const auto& entry) { return entry.value.size() > maxEntryBytes; }))
        return std::nullopt;
    RelayPart part;
    part.topic = topic;
    part.entries = std::move(changes->entries);
    part.upTo = changes->upTo;
    part.hasMore = changes->upTo < watcher.newestRevision();
    part.age = ageAt(now, watcher.confirmedAt());
    if (watcher.isStoreAway(now))
        part.sinceRecovery = 0ms;
    else if (watcher.recoveryTime() != BootClock::time_point {})
        part.sinceRecovery = ageAt(now, watcher.recoveryTime());
    return part;
}

auto RelayController::replyTo(const RelayRequest& request) const -> std::vector<RelayReply>
{
    const auto now = BootClock::now();
    RelayReply reply;
    reply.number = request.number;
    const auto& traffic = this->board.traffic.value();
    reply.configurationRevision = traffic.revision;
    reply.configurationAge = ageAt(now, traffic.confirmed);
    reply.isFollowing = this->isFollowing(now);
    std::vector<RelayReply> replies { reply };
    for (std::size_t topic = 0; topic < std::min({ request.positions.size(), request.digests.size(), this->watchers.size() }); ++topic) {
        auto part = this->partOf(static_cast<RelayTopic>(topic), request.positions[topic], request.digests[topic], now);
        if (!part)
            continue;
        // Topics with changes get a datagram each, so that none grows beyond what one holds.
        if (!part->entries.empty())
            replies.push_back(reply);
        auto& target = part->entries.empty() ? replies.front() : replies.back();
        target.parts.push_back(std::move(*part));
    }
    return replies;
}

auto RelayController::applyReply(const RelayReply& reply) -> void
{
    const auto request = this->sentAt.find(reply.number);
    if (request == this->sentAt.end())
        return;
    const auto moment = request->second;
    this->isReplyPending = false;
    auto hasMore = false;
    auto isFresh = true;
    for (const auto& part : reply.parts) {
        isFresh = this->applyPart(part, moment) && isFresh;
        hasMore = hasMore || part.hasMore;
    }
    if (reply.configurationRevision != 0)
        this->configurationConfirmed.emit(reply.configurationRevision, moment - reply.configurationAge);
    if ((!isFresh || reply.isFollowing) && !this->preferred.empty())
        this->selectNextObserver();
    if (isFresh && hasMore)
        this->sendRequest();
}

auto RelayController::applyPart(const RelayPart& part, BootClock::time_point moment) -> bool
{
    const auto topic = static_cast<std::size_t>(part.topic);
    if (topic >= this->watchers.size())
        return true;
    auto& watcher = *this->watchers.at(topic);
    // Only the last of several parts makes the knowledge complete.
    StoreWatcher::Relayed relayed { { part.entries, part.upTo }, part.hasMore ? BootClock::time_point {} : moment - part.age, {} };
    if (part.sinceRecovery)
        relayed.storeRecoveredAt = BootClock::now() - *part.sinceRecovery;
    watcher.relayed(relayed);
    return part.age < watcher.stallTimeout();
}

auto RelayController::dumpState() const -> nlohmann::json
{
    const auto now = BootClock::now();
    auto ages = nlohmann::json::array();
    for (const auto* watcher : this->watchers)
        ages.push_back({ { "revision", watcher->newestRevision() }, { "confirmed_ms_ago", ageAt(now, watcher->confirmedAt()).count() } });
    return { { "is_observer", this->isObserver }, { "observers", this->board.observers.value().addresses.size() },
        { "observer", this->preferred.empty() || !this->isFollowing(now) ? "" : this->preferred[this->selected].toString() }, { "topics", ages } };
}

} // namespace Primrosefork
