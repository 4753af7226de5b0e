#include "gatewaynode.h"

#include <iostream>
#include <nlohmann/json.hpp>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::size_t requestBufferDivisor = 4; ///< Requests and answers may fill the memory of the node divided by this; their sockets, the rest of the node and its allocator need the other parts.
constexpr auto clockPeriod = 1s; ///< Period at which the wall clock is sampled.

auto listenOn(HttpServer& server, const Address& address, const EventLog& log) -> std::error_code
{
    const auto error = server.listen(address);
    if (error)
        log.write(Event::ListenFailed, { { "address", address.toString() }, { "error", error.message() } });
    return error;
}

} // namespace

GatewayNode::GatewayNode(EventLoop& loop, const GatewaySettings& nodeSettings, GatewaySystems nodeSystems)
    : loop(loop)
    , settings(nodeSettings)
    , systems(std::move(nodeSystems))
    , log(this->settings.logLevel)
    , buffers(this->settings.memory / requestBufferDivisor)
    , intake(this->settings.intake, this->buffers.limit())
    , settingsMonitor(this->settings, this->metrics, this->log)
    , epochs(*this->systems.store, this->metrics, this->log)
    , clockTimer(loop, [this] { this->sampleClock(); })
    , quotas(loop, this->settings, this->shared, this->metrics, this->log)
    , quarantines(*this->systems.store, this->metrics, this->log)
    , limits(this->settings.id, this->shared, this->metrics, this->log)
    , loads(this->settings, this->shared, this->metrics, this->log)
    , rollouts(loop, *this->systems.store, *this->systems.documents, this->settings, this->shared, this->metrics, this->log)
    , forwarding(loop, *this->systems.dialect, *this->systems.mover, this->settings, this->shared, this->quotas, this->limits, this->loads, this->quarantines, this->buffers, this->clock, this->metrics, this->log)
    , traffic(loop, *this->systems.store, *this->systems.documents, this->settings.bounds, this->shared, this->epochs, this->metrics, this->log)
    , registry(loop, *this->systems.store, *this->systems.documents, this->settings.bounds, this->shared, this->log)
    , leadership(loop, *this->systems.store, this->settings, this->shared, this->log)
    , relay(loop, this->settings, this->shared, { &this->traffic.storeWatcher(), &this->registry.storeWatcher(), &this->leadership.storeWatcher() }, this->metrics, this->log)
    , coordination(loop, *this->systems.store, this->settings, this->shared, this->quotas, this->quarantines, this->limits, this->loads, this->rollouts, this->relay, this->epochs, this->metrics, this->log, [this] {
        auto report = this->forwarding.makeReport();
        this->overflow.addToReport(report, EventLoop::now());
        return report;
    })
    , overflow(loop, this->settings, this->shared, this->coordination, this->metrics, this->log)
    , usageReports(loop, *this->systems.store, *this->systems.fleet, this->settings, this->shared, this->coordination, this->leadership, this->clock, this->metrics, this->log)
    , fleet(loop, *this->systems.store, *this->systems.fleet, this->settings, this->shared, this->coordination, this->limits, this->rollouts, this->leadership, this->metrics, this->log)
    , callers(
          loop, this->buffers, [this](const std::shared_ptr<CallerExchange>& exchange) { this->forwarding.handle(exchange); }, &this->intake)
    , intakeControl(loop, this->intake, this->buffers, this->callers, this->settings.memory, this->metrics, this->log)
    , lifecycle(loop, this->settings, this->shared, this->callers, this->log, [this] { return this->forwarding.isConfigurationFresh(); })
    , readinessServer(loop, {}, [this](const std::shared_ptr<HttpExchange>& exchange) {
        exchange->respond({ this->lifecycle.isReady() ? HttpStatus::ok : HttpStatus::unavailable, {}, "" });
    })
    , operatorServer(loop, {}, [this](const std::shared_ptr<HttpExchange>& exchange) { this->answerOperator(exchange); })
{
    this->forwarding.setZoneSelector(this->overflow);
    if (this->loads.isShared())
        this->overflow.setRoomsSource([this](EventLoop::TimePoint) { return this->loads.account().rooms(); });
    this->fleet.setRoomsSource([this](const std::string& service, EventLoop::TimePoint now) { return this->overflow.roomsOf(service, now); });
    this->connectKnowledge();
    this->lifecycle.stopBegan.connect([this] {
        this->leadership.resign();
        this->forwarding.answerBefore(this->lifecycle.answersDue());
    });
    this->lifecycle.stopped.connect([this] {
        this->log.write(Event::NodeStopped, { { "node", this->settings.id } });
        this->loop.post([this] { this->loop.stop(); });
    });
}

auto GatewayNode::connectKnowledge() -> void
{
    this->shared.traffic.changed.connect([this](const TrafficInForce& inForce) {
        if (inForce.table)
            this->callers.setLimits(inForce.table->configuration().limits);
    });
    this->epochs.changed.connect([this](StoreEpoch epoch) {
        this->leadership.storeRestored(epoch);
        for (auto* watcher : { &this->traffic.storeWatcher(), &this->registry.storeWatcher(), &this->leadership.storeWatcher() })
            watcher->storeRestored(epoch);
    });
    this->coordination.configurationConfirmed.connect([this](StoreRevision newest, BootClock::time_point moment) {
        this->epochs.revisionSeen(newest);
        this->traffic.peerConfirmed(newest, moment);
    });
    this->relay.configurationConfirmed.connect([this](StoreRevision newest, BootClock::time_point moment) {
        this->epochs.revisionSeen(newest);
        this->traffic.peerConfirmed(newest, moment);
    });
    this->coordination.recordsRead.connect([this](const StoreListing& listing, BootClock::time_point requestedAt) { this->leadership.beginWith(listing, requestedAt); });
    this->coordination.leaderAnswered.connect([this](StoreRevision newest, BootClock::time_point moment, std::uint64_t term) {
        this->epochs.revisionSeen(newest);
        this->registry.leaderRevisionReceived(newest, moment);
        this->leadership.leaderAnswered(term);
    });
}

auto GatewayNode::begin() -> std::error_code
{
    if (const auto error = this->beginListening())
        return error;
    this->log.write(Event::NodeStarted, { { "node", this->settings.id }, { "zone", this->settings.zone }, { "callers", this->settings.callers.toString() }, { "digest", digestText(settingsDigest(this->settings)) } });
    this->sampleClock();
    this->clockTimer.startRepeating(clockPeriod);
    this->intakeControl.begin();
    // First, since the number of nodes decides how the others follow the store.
    if (const auto error = this->coordination.begin())
        return error;
    this->traffic.begin();
    this->registry.begin();
    this->relay.begin();
    this->overflow.begin();
    this->rollouts.begin();
    if (this->settings.fleetApi.port != 0) {
        this->usageReports.begin();
        this->fleet.begin();
    }
    return {};
}

auto GatewayNode::beginListening() -> std::error_code
{
    if (const auto error = this->callers.listen(this->settings.callers)) {
        this->log.write(Event::ListenFailed, { { "address", this->settings.callers.toString() }, { "error", error.message() } });
        return error;
    }
    if (const auto error = listenOn(this->readinessServer, this->settings.readiness, this->log))
        return error;
    return listenOn(this->operatorServer, this->settings.operators, this->log);
}

auto GatewayNode::sampleClock() -> void
{
    this->clock.sample(EventLoop::now(), WallClock::machineTime());
}

auto GatewayNode::answerOperator(const std::shared_ptr<HttpExchange>& exchange) -> void
{
    const auto& path = exchange->request().path;
    if (path == "/metrics") {
        this->intakeControl.updateMetrics();
        return exchange->respond({ HttpStatus::ok, { { "Content-Type", "text/plain; version=0.0.4" } }, this->metrics.toText() });
    }
    if (path == "/state")
        return exchange->respond({ HttpStatus::ok, { { "Content-Type", "application/json" } }, this->stateText() });
    exchange->respond({ HttpStatus::notFound, {}, "" });
}

auto GatewayNode::dumpState() const -> nlohmann::json
{
    nlohmann::json state { { "node", this->settings.id }, { "zone", this->settings.zone } };
    for (const StateSource* source : std::initializer_list<const StateSource*> {
             &this->settingsMonitor, &this->epochs, &this->lifecycle, &this->traffic, &this->registry, &this->leadership, &this->relay, &this->coordination, &this->quotas, &this->quarantines, &this->limits, &this->loads, &this->usageReports, &this->fleet, &this->forwarding, &this->forwarding.admission(), &this->intakeControl, &this->overflow, &this->rollouts, &this->forwarding.rolloutState() })
        state[source->stateName()] = source->dumpState();
    return state;
}

auto GatewayNode::stateText() const -> std::string
{
    // Request ids are whatever callers sent, also bytes that are not UTF-8.
    return this->dumpState().dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto GatewayNode::writeStateDump() const -> void
{
    this->log.write(Event::StateDumped, { { "node", this->settings.id } });
    std::cerr << this->stateText() << std::endl;
}

} // namespace Primrosefork
