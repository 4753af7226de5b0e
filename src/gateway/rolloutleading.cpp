#include "rolloutleading.h"

#include "eventlog.h"
#include "metrics.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto gatherTime = 1'200ms; ///< Time in which each node reports to a new leader twice.
constexpr auto nodeTimeout = 3s; ///< Time after its last report at which a node counts as dead.
constexpr auto recordPeriod = 2s; ///< Time after which counts and the remaining time are recorded again.
constexpr auto publicationTimeout = 2s; ///< Longest time for all nodes to confirm that a version was rolled back, before it is published.
constexpr auto completedRetention = 30s; ///< Time after the completion for which other versions get nothing, while their servers disappear from the registry.
constexpr std::chrono::milliseconds unlimitedDrainTime = 60s; ///< Longest time of a request on a route without a timeout.
constexpr std::chrono::milliseconds minDrainTime = 500ms;
constexpr double drainMargin = 1.2; ///< On the longest answer so far.
constexpr int minFailedServers = 2; ///< Failures of fewer servers may be those of one machine, when there are several.
constexpr int fewServers = 2;

auto statusOf(const RolloutProgress& progress) -> RolloutStatus
{
    const auto state = progress.phase == RolloutPhase::Completed ? RolloutState::Completed : (progress.phase == RolloutPhase::RolledBack ? RolloutState::RolledBack : RolloutState::Running);
    return { progress.service, progress.version, state };
}

/** Returns whether \a entry is the order that led to \a progress, also when the store has come back from a copy since. */
auto isSameOrder(const OrderEntry& entry, const RolloutProgress& progress) -> bool
{
    return entry.order->version == progress.version && (!isOver(progress.phase) || numberOf(entry.revision) == numberOf(progress.order));
}

/** Returns whether \a entry is an earlier order that a copy of the store has brought back. */
auto isFromCopy(const OrderEntry& entry, const RolloutProgress& progress) -> bool
{
    return entry.isListed && epochOf(entry.revision) > epochOf(progress.order) && numberOf(entry.revision) < numberOf(progress.order);
}

} // namespace

RolloutLeading::Rollout::Rollout(const RolloutProgress& progress, ExposureBounds bounds, TimePoint now, TimePoint gatherEnd)
    : plan(progress, bounds, now)
    , ledger(progress.received, progress.sent, gatherEnd)
{
}

RolloutLeading::RolloutLeading(EventLoop& loop, KeyValueStore& store, const TrafficDocuments& documents, const GatewaySettings& settings, const GatewayBoard& board, Metrics& metrics, const EventLog& log, TimePoint now)
    : settings(settings)
    , board(board)
    , metrics(metrics)
    , log(log)
    , orders(loop, store, documents, log)
    , records(store, documents)
    , began(now)
{
    this->orders.begin();
    this->records.load();
}

auto RolloutLeading::reportReceived(const std::string& id, const RolloutNode& node) -> void
{
    for (auto& rollout : this->rollouts) {
        const auto& state = rollout.plan.state();
        for (const auto& report : node.rollouts) {
            if (report.service == state.service && report.version == state.version && report.order == state.order)
                rollout.ledger.reportReceived(id, node.session, report, node.receivedAt);
        }
    }
}

auto RolloutLeading::adopt(std::vector<RolloutProgress>& known, const RolloutReport& report) const -> void
{
    const RolloutProgress progress { report.service, report.version, report.order, report.left, report.left, report.step, report.phase, report.share, 0, 0 };
    const auto found = std::find_if(known.begin(), known.end(), [&report](const auto& entry) { return entry.service == report.service && entry.version == report.version; });
    if (found == known.end()) {
        // A node that was cut off for long may know a roll-out that later ones have replaced.
        const auto isReplaced = std::any_of(known.begin(), known.end(), [&report](const auto& entry) { return entry.service == report.service && numberOf(entry.order) >= numberOf(report.order); });
        if (!isReplaced)
            known.push_back(progress);
        return;
    }
    if (numberOf(report.order) < numberOf(found->order))
        return;
    if (!isOver(found->phase) && !isOver(report.phase))
        found->left = std::min(found->left, report.left);
    if (!isLater(progress, *found))
        return;
    found->step = report.step;
    found->phase = report.phase;
    found->share = report.share;
    found->order = report.order;
}

auto RolloutLeading::begin(const RolloutNodes& nodes, TimePoint now) -> void
{
    this->records.load();
    if (!this->records.isLoaded() || !this->orders.isKnown() || now - this->began < gatherTime)
        return;
    auto known = this->records.rollouts();
    for (const auto& [id, node] : nodes) {
        for (const auto& report : node.rollouts)
            this->adopt(known, report);
    }
    if (known != this->records.rollouts())
        this->log.write(Event::RolloutStateRestored, { { "rollouts", std::to_string(known.size()) } });
    const ExposureBounds bounds { this->settings.bounds.exposureShare.value_or(0), this->settings.bounds.exposureSlack };
    for (const auto& progress : known) {
        auto& rollout = this->rollouts.emplace_back(progress, bounds, now, now + gatherTime);
        rollout.endedAt = now;
        for (const auto& [id, node] : nodes) {
            for (const auto& report : node.rollouts) {
                if (report.service == progress.service && report.version == progress.version && report.order == progress.order)
                    rollout.ledger.reportReceived(id, node.session, report, node.receivedAt);
            }
        }
    }
    for (const auto& rollout : this->rollouts) {
        if (this->latestOf(rollout.plan.state().service) == &rollout)
            this->publish(rollout);
    }
    this->hasBegun = true;
}

auto RolloutLeading::advance(const RolloutNodes& nodes, bool isLeader, TimePoint now) -> void
{
    if (!this->hasBegun && isLeader)
        this->begin(nodes, now);
    if (!this->hasBegun)
        return;
    if (isLeader)
        this->followOrders(now);
    for (auto& rollout : this->rollouts)
        this->assess(rollout, nodes, now);
    if (!isLeader)
        return;
    this->records.retry();
    this->publishEnded(nodes, now);
    this->removeEnded(now);
    if (this->records.mayWrite())
        this->write(now);
}

auto RolloutLeading::runningOf(const std::string& service) -> Rollout*
{
    const auto found = std::find_if(this->rollouts.begin(), this->rollouts.end(), [&service](const Rollout& rollout) { return rollout.plan.state().service == service && !isOver(rollout.plan.state().phase); });
    return found == this->rollouts.end() ? nullptr : &*found;
}

auto RolloutLeading::latestOf(const std::string& service) -> Rollout*
{
    Rollout* latest = nullptr;
    for (auto& rollout : this->rollouts) {
        if (rollout.plan.state().service == service)
            latest = &rollout;
    }
    return latest;
}

auto RolloutLeading::followOrders(TimePoint now) -> void
{
    for (auto& rollout : this->rollouts) {
        const auto& state = rollout.plan.state();
        if (isOver(state.phase) || this->orders.entries().contains(state.service))
            continue;
        // An order that is missing in a copy of the store was not withdrawn.
        const auto isLost = !this->orders.wasDeleted(state.service) && this->orders.listingEpoch() > epochOf(state.order);
        if (!isLost && rollout.stopReason.empty())
            rollout.stopReason = "withdrawn";
    }
    for (const auto& [service, entry] : this->orders.entries()) {
        if (entry.order)
            this->followOrder(service, entry, now);
    }
}

auto RolloutLeading::followOrder(const std::string& service, const OrderEntry& entry, TimePoint now) -> void
{
    auto* running = this->runningOf(service);
    if (running && running->stopReason.empty()) {
        const auto& state = running->plan.state();
        if (isSameOrder(entry, state)) {
            if (entry.revision != state.order)
                running->plan.orderRepeated(entry.revision, entry.order->duration, now);
        } else if (!isFromCopy(entry, state)) {
            running->stopReason = "replaced";
        }
        return;
    }
    // The earlier roll-out has to be rolled back before the next one begins.
    if (running)
        return;
    const auto* latest = this->latestOf(service);
    if (latest && latest->awaitsPublication)
        return;
    if (latest && (isSameOrder(entry, latest->plan.state()) || isFromCopy(entry, latest->plan.state())))
        return;
    this->startRollout(*entry.order, entry.revision, now);
}

auto RolloutLeading::startRollout(const RolloutOrder& order, StoreRevision revision, TimePoint now) -> void
{
    RolloutProgress progress { order.service, order.version, revision, order.duration, order.duration, 0, RolloutPhase::Waiting, 0, 0, 0 };
    for (const auto& rollout : this->rollouts) {
        if (rollout.plan.state().service == order.service)
            progress.step = std::max(progress.step, rollout.plan.state().step + 1);
    }
    // A leader that has just begun cannot know how long the order waited for it.
    if (now - this->began < gatherTime + nodeTimeout)
        progress.left -= std::min(order.duration / 4, this->settings.bounds.leadership);
    this->rollouts.remove_if([&order](const Rollout& rollout) { return rollout.plan.state().service == order.service && rollout.plan.state().version == order.version; });
    const ExposureBounds bounds { this->settings.bounds.exposureShare.value_or(0), this->settings.bounds.exposureSlack };
    this->rollouts.emplace_back(progress, bounds, now, now);
    this->log.write(Event::RolloutBegan, { { "service", order.service }, { "version", order.version }, { "over_ms", std::to_string(order.duration.count()) }, { "revision", std::to_string(revision) } });
}

auto RolloutLeading::countServers(const std::string& service, const std::string& version) const -> int
{
    const auto& servers = this->board.backendServers.value();
    return static_cast<int>(std::count_if(servers.begin(), servers.end(),
        [&service, &version](const auto& entry) { return entry.second.pool == service && entry.second.version == version && entry.second.state == InstanceState::Live; }));
}

auto RolloutLeading::hasOtherServers(const std::string& service, const std::string& version) const -> bool
{
    const auto& servers = this->board.backendServers.value();
    return std::any_of(servers.begin(), servers.end(), [&service, &version](const auto& entry) { return entry.second.pool == service && entry.second.version != version; });
}

auto RolloutLeading::drainTimeOf(const Rollout& rollout) const -> std::chrono::milliseconds
{
    auto longest = 0ms;
    if (const auto& table = this->board.traffic.value().table) {
        for (const auto& route : table->configuration().routes) {
            const auto isUsed = std::any_of(route.shares.begin(), route.shares.end(), [&rollout](const RouteShare& share) { return share.service == rollout.plan.state().service; });
            if (isUsed)
                longest = std::max(longest, route.timeout > 0ms ? route.timeout : unlimitedDrainTime);
        }
    }
    const auto observed = rollout.ledger.longestAnswer();
    if (observed > 0ms)
        longest = std::min(longest, std::chrono::duration_cast<std::chrono::milliseconds>(drainMargin * observed));
    return std::max(longest, minDrainTime);
}

auto RolloutLeading::assess(Rollout& rollout, const RolloutNodes& nodes, TimePoint now) const -> void
{
    const auto& state = rollout.plan.state();
    if (isOver(state.phase))
        return;
    rollout.comparison.add(rollout.ledger.takeAnswers(), now);
    auto& situation = rollout.situation;
    const auto servers = this->countServers(state.service, state.version);
    situation.verdict = rollout.comparison.verdict();
    const auto isOneMachine = rollout.comparison.isAboutFailures() && rollout.ledger.failedServers() < minFailedServers && servers > fewServers;
    if (situation.verdict == VersionVerdict::Bad && isOneMachine)
        situation.verdict = VersionVerdict::Undecided;
    // A bad verdict is final, also while it cannot be recorded.
    if (situation.verdict == VersionVerdict::Bad && rollout.stopReason.empty())
        rollout.stopReason = rollout.comparison.reason();
    if (!rollout.stopReason.empty())
        situation.verdict = VersionVerdict::Bad;
    situation.hasServers = servers > 0;
    situation.received = rollout.ledger.received();
    situation.sent = rollout.ledger.sent();
    situation.openAtEarlier = rollout.ledger.openAtEarlier(now - nodeTimeout);
    situation.drainTime = this->drainTimeOf(rollout);
    situation.requestsPerSecond = 0;
    situation.isInForce = isInForce(rollout, nodes, now);
    for (const auto& [id, node] : nodes) {
        const auto rate = node.requestsPerSecond.find(state.service);
        if (now - node.receivedAt < nodeTimeout && rate != node.requestsPerSecond.end())
            situation.requestsPerSecond += rate->second;
    }
}

auto RolloutLeading::isInForce(const Rollout& rollout, const RolloutNodes& nodes, TimePoint now) -> bool
{
    const auto& state = rollout.plan.state();
    return std::all_of(nodes.begin(), nodes.end(), [&rollout, &state, now](const auto& entry) { return now - entry.second.receivedAt >= nodeTimeout || rollout.ledger.isInForce(entry.first, state.step, state.share); });
}

auto RolloutLeading::publishEnded(const RolloutNodes& nodes, TimePoint now) -> void
{
    for (auto& rollout : this->rollouts) {
        // Servers of a version that was rolled back may stop as soon as it is published, so no node may send to them any more.
        if (rollout.awaitsPublication && (!rollout.situation.hasServers || isInForce(rollout, nodes, now) || now - rollout.endedAt >= publicationTimeout)) {
            rollout.awaitsPublication = false;
            this->publish(rollout);
        }
    }
}

auto RolloutLeading::stage(Rollout& rollout, TimePoint now) const -> bool
{
    rollout.staged = rollout.plan.next(rollout.situation, now);
    return rollout.staged.has_value() || !rollout.isRecorded;
}

auto RolloutLeading::write(TimePoint now) -> void
{
    auto isDue = now - this->lastWrite >= recordPeriod && std::any_of(this->rollouts.begin(), this->rollouts.end(), [](const Rollout& rollout) { return !isOver(rollout.plan.state().phase); });
    for (auto& rollout : this->rollouts)
        isDue = this->stage(rollout, now) || isDue;
    if (!isDue)
        return;
    std::vector<RolloutProgress> record;
    for (auto& rollout : this->rollouts) {
        rollout.isBeingWritten = true;
        auto plan = rollout.plan;
        if (rollout.staged)
            plan.apply(*rollout.staged, now);
        record.push_back(plan.progress(rollout.situation, now));
    }
    this->lastWrite = now;
    this->records.write(record, [this] { this->written(EventLoop::now()); });
}

auto RolloutLeading::written(TimePoint now) -> void
{
    for (auto& rollout : this->rollouts) {
        // One that began meanwhile is not in what was written.
        if (!std::exchange(rollout.isBeingWritten, false))
            continue;
        const auto isNew = !rollout.isRecorded && rollout.plan.state().phase == RolloutPhase::Waiting;
        rollout.isRecorded = true;
        if (isNew)
            this->publish(rollout);
        if (rollout.staged)
            this->stepApplied(rollout, now);
    }
}

auto RolloutLeading::stepApplied(Rollout& rollout, TimePoint now) -> void
{
    rollout.plan.apply(*rollout.staged, now);
    rollout.staged.reset();
    const auto& state = rollout.plan.state();
    const auto& situation = rollout.situation;
    auto event = Event::RolloutStepped;
    std::string reason;
    if (state.phase == RolloutPhase::Completed)
        event = Event::RolloutCompleted;
    if (state.phase == RolloutPhase::RolledBack) {
        event = Event::RolloutRolledBack;
        reason = rollout.stopReason.empty() ? "no servers" : rollout.stopReason;
    }
    this->log.write(event,
        { { "service", state.service }, { "version", state.version }, { "phase", nameOf(state.phase) }, { "share", std::to_string(state.share) }, { "step", std::to_string(state.step) },
            { "received", std::to_string(situation.received) }, { "sent", std::to_string(situation.sent) }, { "left_ms", std::to_string(rollout.plan.left(now).count()) }, { "reason", reason } });
    if (!isOver(state.phase))
        return;
    rollout.endedAt = now;
    this->metrics.count("rollouts_total{outcome=\"" + nameOf(state.phase) + "\"}");
    rollout.awaitsPublication = state.phase == RolloutPhase::RolledBack;
    if (state.phase == RolloutPhase::Completed)
        this->publish(rollout);
}

auto RolloutLeading::publish(const Rollout& rollout) -> void
{
    this->records.publish(statusOf(rollout.plan.state()));
}

auto RolloutLeading::removeEnded(TimePoint now) -> void
{
    this->rollouts.remove_if([this, now](const Rollout& rollout) {
        const auto& state = rollout.plan.state();
        if (!isOver(state.phase) || !rollout.isRecorded || now - rollout.endedAt < completedRetention)
            return false;
        const auto order = this->orders.entries().find(state.service);
        const auto isOrdered = order != this->orders.entries().end() && order->second.order && isSameOrder(order->second, state);
        return !isOrdered && (state.phase == RolloutPhase::Completed || this->countServers(state.service, state.version) == 0);
    });
}

auto RolloutLeading::shareOf(const Rollout& rollout) const -> double
{
    return rollout.plan.shareAt(rollout.situation);
}

auto RolloutLeading::shares(TimePoint now) const -> std::vector<RolloutShare>
{
    std::vector<RolloutShare> list;
    for (const auto& rollout : this->rollouts) {
        const auto& state = rollout.plan.state();
        const auto isForgotten = now - rollout.endedAt >= completedRetention || !this->hasOtherServers(state.service, state.version);
        if (state.phase == RolloutPhase::Completed && isForgotten)
            continue;
        list.push_back({ state.service, state.version, state.order, state.step, state.phase, this->shareOf(rollout), rollout.plan.left(now), rollout.situation.drainTime });
    }
    return list;
}

auto RolloutLeading::isReplacing(const std::string& service) const -> bool
{
    return std::any_of(this->rollouts.begin(), this->rollouts.end(), [this, &service](const Rollout& rollout) {
        const auto& state = rollout.plan.state();
        return state.service == service && (!isOver(state.phase) || (this->countServers(service, state.version) > 0 && this->hasOtherServers(service, state.version)));
    });
}

auto RolloutLeading::carriesLoad(const BackendServer& server) const -> bool
{
    for (const auto& rollout : this->rollouts) {
        const auto& state = rollout.plan.state();
        if (state.service != server.pool)
            continue;
        const auto isNext = state.version == server.version;
        if (state.phase == RolloutPhase::RolledBack ? isNext : isNext != (state.phase >= RolloutPhase::Full))
            return false;
    }
    return true;
}

auto RolloutLeading::dumpState(TimePoint now) const -> nlohmann::json
{
    auto list = nlohmann::json::array();
    for (const auto& rollout : this->rollouts) {
        const auto& state = rollout.plan.state();
        const auto& situation = rollout.situation;
        list.push_back({ { "service", state.service }, { "version", state.version }, { "phase", nameOf(state.phase) }, { "step", state.step }, { "share", this->shareOf(rollout) }, { "left_ms", rollout.plan.left(now).count() },
            { "received", situation.received }, { "sent", situation.sent }, { "open_at_earlier", situation.openAtEarlier }, { "in_force", situation.isInForce }, { "fault", rollout.comparison.reason() } });
    }
    return list;
}

} // namespace Primrosefork
