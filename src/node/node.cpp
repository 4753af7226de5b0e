#include "node.h"

#include "hash.h"

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <utility>

namespace Primrosefork {

namespace {

/** Returns the total slots of the live engines among \a servers, shared by \a nodes. */
auto capacityOf(const BackendServers& servers, std::size_t nodes) -> AdmissionCapacity
{
    AdmissionCapacity capacity { 0, nodes };
    for (const auto& [id, server] : servers) {
        if (server.kind == BackendKind::Engine && server.state == InstanceState::Live)
            capacity.slots += server.slots;
    }
    return capacity;
}

auto livePeerCount(const Peers& peers) -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(peers.begin(), peers.end(), [](const auto& entry) { return isLive(entry.second.state); }));
}

} // namespace

Node::Node(EventLoop& loop, NodeSettings nodeSettings)
    : loop(loop)
    , settings(std::move(nodeSettings))
    , log(this->settings.logLevel)
    , httpClient(loop)
    , store(this->httpClient, this->settings.keyValueService, this->settings.timeouts.store)
    , instanceList(this->httpClient, this->settings.instanceList, this->settings.timeouts.store)
    , cloudApi(this->httpClient, this->settings.cloudApi, this->settings.timeouts.store)
    , engines(this->httpClient, this->settings.timeouts.store)
    , plainServices(this->httpClient)
    , routing(makeRoutingPolicy(this->settings.routingPolicy, hash64(this->settings.id)))
    , retries(hash64(this->settings.id))
    , admission(static_cast<std::size_t>(this->settings.limits.openRequests))
    , claims(loop, this->store, this->settings, this->metrics, this->log)
    , configuration(loop, this->store, this->blackboard, this->log, { .watch = this->settings.timeouts.watch })
    , configurationWriter(loop, this->store, this->blackboard, {})
    , backends(loop, this->instanceList, this->blackboard, this->log, this->settings.timeouts.instancePoll)
    , load(loop, this->engines, this->blackboard, this->settings)
    , notices(loop, this->cloudApi, this->blackboard, this->log, this->settings.timeouts.noticePoll)
    , membership(loop, this->settings, this->blackboard, this->log, this->metrics)
    , configurationFetcher(loop, this->settings, this->blackboard, this->configuration, this->membership, this->log)
    , requests({ loop, this->settings, this->blackboard, this->candidates, *this->routing, this->retries, this->engines, this->plainServices, this->metrics, this->log, this->claims }, this->admission)
    , lifecycle(loop, this->blackboard, this->log, this->settings.timeouts.drain, [this] { return this->callerServer.openCount() + this->claims.heldCount(); })
    , callerServer(loop, this->settings, this->requests, this->lifecycle)
    , administration(this->settings, this->blackboard, this->configurationWriter, this->metrics, this->log)
    , operatorServer(loop, this->settings, this->metrics, this->administration)
{
    this->connectSignals();
    this->connectPeers();
    this->addStateSources();
}

auto Node::connectSignals() -> void
{
    this->callerServer.becameIdle().connect([this] { this->lifecycle.finishWhenIdle(); });
    this->claims.claimEnded.connect([this] { this->lifecycle.finishWhenIdle(); });
    this->lifecycle.acceptingEnded.connect([this] { this->callerServer.stopAccepting(); });
    this->lifecycle.drainExpired.connect([this] { this->requests.handBackRequests(); });
    this->lifecycle.stopped.connect([this] {
        this->log.write(Event::NodeStopped, { { "node", this->settings.id } });
        this->loop.post([this] { this->loop.stop(); });
    });
    this->configurationWriter.recordAccepted.connect(
        [this](const StoreEntry& entry) { this->configuration.applyAccepted(entry); });
    this->blackboard.loadReports.changed.connect(
        [this](const LoadReports& reports) { this->routing->loadReported(reports, EventLoop::now()); });
    this->blackboard.backendServers.changed.connect([this](const BackendServers&) { this->updateCapacity(); });
    this->blackboard.peers.changed.connect([this](const Peers&) { this->updateCapacity(); });
    this->updateCapacity();
    this->blackboard.reclaimNotices.changed.connect([this](const ReclaimNotices& current) {
        this->stopBeforeReclaim(current, "reclaim notice");
        this->requests.reclaimNoticesChanged();
    });
}

auto Node::stopBeforeReclaim(const ReclaimNotices& notices, const char* reason) -> void
{
    const auto own = notices.find(this->settings.id);
    if (own != notices.end())
        this->lifecycle.requestStopBefore(own->second.deadline, reason, EventLoop::now());
}

auto Node::updateCapacity() -> void
{
    auto nodes = std::max<std::size_t>(1, this->settings.peerSeeds.size());
    if (this->settings.peers.port != 0)
        nodes = 1 + livePeerCount(this->blackboard.peers.value());
    this->routing->setNodeCount(nodes);
    this->admission.setCapacity(capacityOf(this->blackboard.backendServers.value(), nodes), EventLoop::now());
}

auto Node::connectPeers() -> void
{
    this->blackboard.configuration.changed.connect(
        [this](const Configuration&) { this->membership.setConfigurationRevision(this->configuration.recordsRevision()); });
    this->blackboard.reclaimNotices.changed.connect([this](const ReclaimNotices& current) { this->membership.announceNotices(current); });
    this->blackboard.peerNotices.changed.connect([this](const ReclaimNotices& current) { this->stopBeforeReclaim(current, "reclaim notice received from a peer"); });
    this->blackboard.lifecycle.changed.connect([this](Lifecycle current) {
        if (current == Lifecycle::Draining)
            this->membership.leave();
    });
}

auto Node::beginPeers() -> std::error_code
{
    if (this->settings.peers.port == 0)
        return {};
    if (const auto error = this->membership.begin())
        return error;
    return this->configurationFetcher.begin();
}

auto Node::addStateSources() -> void
{
    for (const StateSource* source : std::initializer_list<const StateSource*> {
             &this->lifecycle, &this->configuration, &this->backends, &this->load, &this->notices, &this->claims, &this->membership, &this->requests })
        this->operatorServer.addSource(*source);
}

auto Node::begin() -> std::error_code
{
    if (const auto error = this->callerServer.listen()) {
        this->log.write(Event::ListenFailed, { { "address", this->settings.callers.toString() }, { "error", error.message() } });
        return error;
    }
    if (const auto error = this->operatorServer.listen()) {
        this->log.write(Event::ListenFailed, { { "address", this->settings.operators.toString() }, { "error", error.message() } });
        return error;
    }
    if (const auto error = this->beginPeers()) {
        this->log.write(Event::ListenFailed, { { "address", this->settings.peers.toString() }, { "error", error.message() } });
        return error;
    }
    this->log.write(Event::NodeStarted,
        { { "node", this->settings.id }, { "zone", this->settings.zone }, { "callers", this->settings.callers.toString() }, { "operators", this->settings.operators.toString() } });
    this->configuration.begin();
    this->backends.begin();
    this->load.begin();
    if (this->settings.cloudApi.port != 0)
        this->notices.begin();
    return {};
}

auto Node::requestStop(const char* reason) -> void
{
    this->lifecycle.requestStop(reason);
}

auto Node::writeStateDump() const -> void
{
    this->log.write(Event::StateDumped, { { "node", this->settings.id } });
    std::cerr << this->operatorServer.dumpState().dump(2) << std::endl;
}

} // namespace Primrosefork
