#include "coordinationcontroller.h"

#include "eventlog.h"
#include "hash.h"
#include "metrics.h"
#include "observerselection.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto recordPrefix = "primrosefork/"; ///< Prefix of all records of the nodes, read with one call at the start.
constexpr auto peerKeyKey = "primrosefork/peer-key";
constexpr auto nodesKey = "primrosefork/nodes";
constexpr auto nodeCountStableTime = 3s; ///< Time for which the number of nodes must be unchanged before it is written to the store.
constexpr std::uint32_t initialSequenceRange = 1U << 24U; ///< The first sequence number is drawn below this bound, so that an answer to an earlier process does not match a report of this one.
constexpr std::size_t secretBytes = 32;
constexpr std::chrono::milliseconds recordRetryDelay = 400ms;
constexpr std::chrono::milliseconds maxRereadDelay = 1s; ///< The nodes read the records at random times after the store came back from a copy.
constexpr int maxRetryDoublings = 2; ///< Doublings of that time, so that many nodes that start without the store do not crowd it on its return.
constexpr std::chrono::milliseconds reportPeriod = 500ms; ///< Ten reports per accounting window of 5 s, and several per quota window.
constexpr std::size_t maxListedNodes = 16; ///< Ids of nodes with one value that the state dump lists.
constexpr auto nodeTimeout = 3s; ///< Time after its last report at which a node counts as dead and has no share.
constexpr auto reportRetention = 30s; ///< Time for which a node's last report is kept, because its usage counts may still be due.
constexpr auto observerGatherTime = 700ms; ///< Time in which each node reports to a new leader once, before the leader chooses observers.
constexpr auto observerTimeout = 1'600ms; ///< Time after its last report, three report periods long, at which an observer is replaced.
constexpr std::size_t keptReports = 8; ///< Reports to which the leader's answers still confirm what it knows.
constexpr std::size_t keptWindows = 6; ///< Accounting windows of a node that are kept; older ones are no longer due.
constexpr double minReportedDemand = 0.01; ///< Units per second below which a workspace's demand is left out of the report.
constexpr double minEqualPart = 0.2; ///< Smallest part of a quota that is divided equally, for nodes whose demand is new.

auto addCounts(std::map<UsageWindow, UsageCounts>& windows, UsageWindow window, const UsageCounts& counts) -> void
{
    for (const auto& [workspace, count] : counts)
        windows[window][workspace] += count;
    while (windows.size() > keptWindows)
        windows.erase(windows.begin());
}

/** Returns how many live nodes report each value, the commonest first, with the ids of some of them; \a name is the member with the value. */
template <typename ValueOf>
auto groupNodes(const char* name, const NodeRecords& nodes, EventLoop::TimePoint now, ValueOf valueOf) -> nlohmann::json
{
    using Value = std::invoke_result_t<ValueOf, const NodeReport&>;
    std::map<Value, std::vector<std::string>> groups;
    for (const auto& [id, node] : nodes) {
        if (now - node.receivedAt < nodeTimeout)
            groups[valueOf(node.report)].push_back(id);
    }
    std::vector<std::pair<Value, std::vector<std::string>>> ordered(groups.begin(), groups.end());
    std::stable_sort(ordered.begin(), ordered.end(), [](const auto& left, const auto& right) { return left.second.size() > right.second.size(); });
    auto list = nlohmann::json::array();
    for (auto& [value, ids] : ordered) {
        const auto count = ids.size();
        ids.resize(std::min(count, maxListedNodes));
        list.push_back({ { name, value }, { "nodes", count }, { "ids", ids } });
    }
    return list;
}

} // namespace

CoordinationController::CoordinationController(EventLoop& loop, KeyValueStore& store, const GatewaySettings& settings, GatewayBoard& board,
    QuotaController& quotas, QuarantineController& quarantines, ServerLimitController& limits, SharedLoadController& loads, RolloutController& rollouts, RelayController& relay, StoreEpochMonitor& epochs, Metrics& metrics, const EventLog& log, ReportSource reportSource)
    : loop(loop)
    , store(store)
    , settings(settings)
    , board(board)
    , quotas(quotas)
    , quarantines(quarantines)
    , limits(limits)
    , loads(loads)
    , rollouts(rollouts)
    , relay(relay)
    , epochs(epochs)
    , metrics(metrics)
    , log(log)
    , reportSource(std::move(reportSource))
    , share(board.fleetShare.acquireWriter("CoordinationController"))
    , observers(board.observers.acquireWriter("CoordinationController"))
    , socket(loop, [this](const Address& sender, std::span<const std::uint8_t> datagram) { this->datagramReceived(sender, datagram); })
    , recordTimer(loop, [this] { this->fetchRecords(); })
    , keyTimer(loop, [this] { this->createKey(); })
    , reportTimer(loop, [this] { this->sendReport(); })
    , session(hash64(randomHex(8)))
    , sequence(static_cast<std::uint32_t>(this->session % initialSequenceRange))
    , isAlive(std::make_shared<bool>(true))
{
    this->quotas.requestIssued.connect([this](const QuotaRequest& quotaRequest) { this->sendQuotaRequest(quotaRequest); });
    this->relay.requestIssued.connect([this](const Address& observer, const RelayRequest& relayRequest) {
        FleetMessage message;
        message.relayRequest = relayRequest;
        this->send(observer, std::move(message));
    });
    board.leadership.changed.connect([this](const Leadership& leadership) { this->leadershipChanged(leadership); });
    epochs.changed.connect([this](StoreEpoch) { this->storeRestored(); });
}

CoordinationController::~CoordinationController()
{
    *this->isAlive = false;
}

auto CoordinationController::begin() -> std::error_code
{
    if (const auto error = this->socket.bind(this->settings.peers))
        return error;
    this->fetchRecords();
    this->reportTimer.startRepeating(reportPeriod);
    return {};
}

auto CoordinationController::fetchRecords() -> void
{
    this->store.list(recordPrefix, [this, requestedAt = BootClock::now(), alive = this->isAlive](std::error_code error, const StoreListing& listing) {
        if (!*alive)
            return;
        if (error)
            return this->recordTimer.start(recordRetryDelay * (1 << std::min(this->failedReads++, maxRetryDoublings)));
        this->applyRecords(listing);
        if (!std::exchange(this->hasReadRecords, true))
            this->recordsRead.emit(listing, requestedAt);
    });
}

auto CoordinationController::applyRecords(const StoreListing& listing) -> void
{
    auto hasKey = false;
    StoreRevision quarantineRevision = 0;
    StoreEntry epochRecord;
    this->nodeCountRevision = 0;
    this->recordedNodeCount = 0;
    for (const auto& entry : listing.entries) {
        if (entry.key == peerKeyKey) {
            this->setKey(entry.value);
            hasKey = true;
        } else if (entry.key == nodesKey) {
            this->applyNodeCount(entry);
        } else if (entry.key == settledEpochKey) {
            epochRecord = entry;
        } else if (entry.key == quarantineKey) {
            quarantineRevision = entry.revision;
            if (!this->hasReadRecords)
                this->quarantines.applyRecord(entry, EventLoop::now());
        }
    }
    this->epochs.recordRead(epochRecord);
    if (this->hasReadRecords)
        this->quarantines.recordRestored(quarantineRevision);
    if (!hasKey)
        this->createKey();
}

auto CoordinationController::storeRestored() -> void
{
    if (!this->hasReadRecords)
        return;
    this->failedReads = 0;
    this->recordTimer.start(std::chrono::milliseconds(hash64(randomHex(8)) % static_cast<std::uint64_t>(maxRereadDelay.count())));
}

auto CoordinationController::createKey() -> void
{
    // A key that was lost with a restoration of the store is written again.
    this->store.compareAndSwap({ peerKeyKey, 0, this->keySecret.empty() ? randomHex(secretBytes) : this->keySecret, 0 }, [this, alive = this->isAlive](std::error_code error, const StoreSwapResult& result) {
        if (!*alive)
            return;
        if (error || result.current.value.empty())
            return this->keyTimer.start(recordRetryDelay);
        this->setKey(result.current.value);
    });
}

auto CoordinationController::setKey(const std::string& secret) -> void
{
    this->keySecret = secret;
    this->keyring.emplace(std::vector<PeerKey> { { 1, secret } });
}

auto CoordinationController::applyNodeCount(const StoreEntry& entry) -> void
{
    this->nodeCountRevision = entry.revision;
    this->recordedNodeCount = std::strtoull(entry.value.c_str(), nullptr, 10);
    // A node that has just started uses the number that the last leader recorded until the present leader answers.
    if (this->recordedNodeCount > 0 && !this->hasReadRecords)
        this->share.write({ this->recordedNodeCount, {}, 0, {} });
}

auto CoordinationController::recordNodeCount(std::size_t nodes) -> void
{
    const auto now = EventLoop::now();
    if (nodes != this->pendingNodeCount) {
        this->pendingNodeCount = nodes;
        this->pendingSince = now;
    }
    if (nodes == this->recordedNodeCount || now - this->pendingSince < nodeCountStableTime || std::exchange(this->isRecording, true))
        return;
    this->store.compareAndSwap({ nodesKey, this->nodeCountRevision, std::to_string(nodes), 0 },
        [this, nodes, alive = this->isAlive](std::error_code error, const StoreSwapResult& result) {
            if (!*alive)
                return;
            this->isRecording = false;
            if (error)
                return;
            this->nodeCountRevision = result.current.revision;
            this->recordedNodeCount = result.isSwapped ? nodes : std::strtoull(result.current.value.c_str(), nullptr, 10);
        });
}

auto CoordinationController::leadershipChanged(const Leadership& leadership) -> void
{
    if (leadership.isCoordinator)
        this->quarantines.coordinationBegan(leadership.coordinationFence);
    if (leadership.term == 0 || leadership.term == this->term)
        return;
    this->term = leadership.term;
    this->leadingSince = EventLoop::now();
    this->unconfirmedWindows.reset();
    // A new leader opens the quota accounts when it has heard of the nodes' use.
    if (this->keyring)
        this->loop.post([this, alive = this->isAlive] {
            if (*alive)
                this->sendReport();
        });
}

auto CoordinationController::sendReport() -> void
{
    const auto& leadership = this->board.leadership.value();
    FleetMessage message;
    message.report = this->reportSource();
    message.report->term = leadership.term;
    message.report->zone = this->settings.zone;
    message.report->processorShare = this->settings.processorShare;
    message.report->settingsDigest = settingsDigest(this->settings);
    message.report->configurationRevision = this->board.traffic.value().revision;
    message.report->prompts = this->quarantines.makeReport(EventLoop::now());
    std::erase_if(message.report->workspaces, [](const auto& entry) { return entry.requestedPerSecond < minReportedDemand && entry.locallyGrantedUnits == 0 && entry.recentUse.inWindow == 0; });
    if (leadership.isCoordinator && leadership.hasCoordinator(BootClock::now())) {
        message.sender = this->settings.id;
        message.session = this->session;
        message.sequence = ++this->sequence;
        static_cast<void>(this->storeReport(this->settings.peers, message));
        this->sumReports();
        this->updateObservers();
        this->recordNodeCount(this->liveNodeCount);
        this->epochs.recordWhenSettled();
        this->quarantines.recordChanges(EventLoop::now());
        this->quotas.updateAccounts(this->nodeRecords, this->recordedNodeCount);
        this->loads.updateAccount(this->recordedNodeCount);
        this->partitionEngines();
        return this->applyAnswer(this->answerFor(this->settings.id, 0));
    }
    if (!leadership.hasCoordinator(BootClock::now()))
        return this->quarantines.decideAlone(this->settings.id, message.report->prompts, EventLoop::now());
    const auto reportSequence = this->sequence + 1;
    this->reportTimes[reportSequence] = BootClock::now();
    if (this->reportTimes.size() > keptReports)
        this->reportTimes.erase(this->reportTimes.begin());
    message.report->windows = this->unconfirmedWindows.select(std::move(message.report->windows), reportSequence);
    this->send(leadership.coordinatorAddress, std::move(message));
}

auto CoordinationController::sendQuotaRequest(const QuotaRequest& quotaRequest) -> void
{
    FleetMessage message;
    message.quotaRequest = quotaRequest;
    this->send(this->board.leadership.value().coordinatorAddress, std::move(message));
}

auto CoordinationController::send(const Address& recipient, FleetMessage message) -> void
{
    if (!this->keyring)
        return;
    message.sender = this->settings.id;
    message.session = this->session;
    message.sequence = ++this->sequence;
    const auto datagram = this->keyring->sign(encodeFleetMessage(message), recipient.toString());
    this->metrics.count("peer_sent_bytes_total", datagram.size());
    this->socket.send(recipient, datagram);
}

auto CoordinationController::datagramReceived(const Address& sender, std::span<const std::uint8_t> datagram) -> void
{
    this->metrics.count("peer_received_bytes_total", datagram.size());
    if (!this->keyring || this->keyring->verify(datagram, this->settings.peers.toString()) != SignatureVerdict::Authentic)
        return this->metrics.count("peer_refused_datagrams_total");
    const auto body = PeerKeyring::bodyOf(datagram);
    const auto message = decodeFleetMessage({ reinterpret_cast<const char*>(body.data()), body.size() });
    if (!message)
        return this->metrics.count("peer_refused_datagrams_total");
    this->dispatch(sender, *message);
}

auto CoordinationController::dispatch(const Address& sender, const FleetMessage& message) -> void
{
    if (message.answer)
        return this->applyAnswer(*message.answer);
    if (message.quotaReply)
        return this->quotas.applyReply(*message.quotaReply);
    if (message.relayReply)
        return this->relay.applyReply(*message.relayReply);
    FleetMessage answer;
    if (message.quotaRequest) {
        answer.quotaReply = this->quotas.replyTo(*message.quotaRequest);
        return this->send(sender, std::move(answer));
    }
    if (message.relayRequest) {
        for (auto& reply : this->relay.replyTo(*message.relayRequest)) {
            answer.relayReply = std::move(reply);
            this->send(sender, answer);
        }
        return;
    }
    if (!this->board.leadership.value().isCoordinator || !this->storeReport(sender, message))
        return;
    answer.answer = this->answerFor(message.sender, message.sequence);
    this->send(sender, std::move(answer));
}

auto CoordinationController::storeReport(const Address& sender, const FleetMessage& message) -> bool
{
    auto& node = this->nodeRecords[message.sender];
    // Reports that arrive out of order or twice are ignored, and those of a process that has been replaced.
    if (!message.report || (node.session == message.session && message.sequence <= node.sequence) || message.session == node.earlierSession)
        return false;
    if (node.session != message.session) {
        node.earlierSession = node.session;
        for (const auto& [window, counts] : std::exchange(node.windows, {}))
            addCounts(node.earlierWindows, window, counts);
    }
    node.address = sender;
    node.session = message.session;
    node.sequence = message.sequence;
    node.report = *message.report;
    node.receivedAt = EventLoop::now();
    this->quarantines.reportReceived(message.sender, node.report.prompts, node.receivedAt);
    this->limits.reportReceived(message.sender, node.report);
    this->loads.reportReceived(message.sender, node.report);
    this->rollouts.reportReceived(message.sender, message.session, node.report);
    for (const auto& entry : node.report.windows)
        node.windows[entry.window] = entry.counts;
    while (node.windows.size() > keptWindows)
        node.windows.erase(node.windows.begin());
    std::erase_if(this->nodeRecords, [now = node.receivedAt](const auto& entry) { return now - entry.second.receivedAt > reportRetention; });
    return true;
}

auto CoordinationController::countLiveNodes() const -> std::size_t
{
    const auto now = EventLoop::now();
    return static_cast<std::size_t>(std::count_if(this->nodeRecords.begin(), this->nodeRecords.end(), [now](const auto& entry) { return now - entry.second.receivedAt < nodeTimeout; }));
}

auto CoordinationController::answerFor(const std::string& nodeId, std::uint32_t reportSequence) -> FleetAnswer
{
    FleetAnswer answer;
    const auto nodes = std::max<std::size_t>(1, this->liveNodeCount);
    answer.nodes = static_cast<std::uint32_t>(nodes);
    answer.term = this->board.leadership.value().term;
    answer.reportSequence = reportSequence;
    this->quarantines.addToAnswer(answer, EventLoop::now());
    this->limits.addToAnswer(answer, nodeId);
    this->loads.addToAnswer(answer, nodeId);
    this->rollouts.addToAnswer(answer);
    const auto node = this->nodeRecords.find(nodeId);
    const auto& traffic = this->board.traffic.value();
    const auto& registry = this->relay.watcher(RelayTopic::Registry);
    answer.registryRevision = registry.changes().newestChange();
    answer.registryAge = std::chrono::ceil<std::chrono::milliseconds>(BootClock::now() - registry.confirmedAt());
    answer.configurationRevision = traffic.revision;
    answer.configurationAge = std::chrono::ceil<std::chrono::milliseconds>(BootClock::now() - traffic.confirmed);
    if (node == this->nodeRecords.end() || !traffic.table)
        return answer;
    for (const auto& entry : node->second.report.workspaces) {
        const auto* workspace = traffic.table->workspace(entry.workspace);
        if (!workspace)
            continue;
        const auto found = this->totalDemand.find(workspace->name);
        const auto total = found == this->totalDemand.end() ? 0 : found->second;
        const auto quota = std::max(1.0, workspace->quota.perSecond);
        const auto equalPart = std::max(minEqualPart, 1 - total / quota);
        const auto demandPart = total > 0 ? std::min(1.0, entry.requestedPerSecond / total) : 0;
        answer.shares.push_back({ workspace->name, equalPart / static_cast<double>(nodes) + (1 - equalPart) * demandPart });
    }
    answer.otherShare = minEqualPart / static_cast<double>(nodes);
    answer.streamEngines = this->streamEngines;
    answer.observers = this->observers.value().addresses;
    this->answering.emit(node->second.report, answer);
    return answer;
}

auto CoordinationController::sumReports() -> void
{
    this->liveNodeCount = this->countLiveNodes();
    this->limits.updateDemand(this->liveNodeCount);
    this->totalDemand.clear();
    const auto now = EventLoop::now();
    for (const auto& [id, node] : this->nodeRecords) {
        if (now - node.receivedAt >= nodeTimeout)
            continue;
        for (const auto& entry : node.report.workspaces)
            this->totalDemand[entry.workspace] += entry.requestedPerSecond;
    }
}

auto CoordinationController::updateObservers() -> void
{
    const auto now = EventLoop::now();
    if (now - this->leadingSince < observerGatherTime)
        return;
    std::vector<ObserverCandidate> candidates;
    for (const auto& [id, node] : this->nodeRecords) {
        if (now - node.receivedAt < observerTimeout)
            candidates.push_back({ node.address, node.report.zone, node.report.processorShare });
    }
    this->applyObservers(selectObservers(this->observers.value().addresses, std::move(candidates)));
}

auto CoordinationController::applyObservers(const std::vector<Address>& addresses) -> void
{
    if (addresses.empty() || addresses == this->observers.value().addresses)
        return;
    this->observers.write({ addresses, std::find(addresses.begin(), addresses.end(), this->settings.peers) != addresses.end() });
}

auto CoordinationController::partitionEngines() -> void
{
    this->streamEngines.clear();
    const auto& table = this->board.traffic.value().table;
    if (!table)
        return;
    const auto now = EventLoop::now();
    for (const auto& [name, service] : table->configuration().services) {
        if (!service.engine)
            continue;
        std::int64_t open = 0;
        for (const auto& [id, node] : this->nodeRecords) {
            for (const auto& entry : node.report.services)
                open += entry.service == name && now - node.receivedAt < nodeTimeout ? entry.openStreams : 0;
        }
        const auto& servers = this->board.backendServers.value();
        const auto engines = std::count_if(
            servers.begin(), servers.end(), [&name = name](const auto& entry) { return entry.second.pool == name && entry.second.state == InstanceState::Live; });
        this->streamEngines.push_back({ name, this->streamPartitions[name].update(open, service.engine->slots, engines) });
    }
}

auto CoordinationController::applyAnswer(const FleetAnswer& answer) -> void
{
    // The leader computes the ages after this node has sent its report, so the differences are not later than
    // the times at which the leader's knowledge was confirmed.
    const auto report = this->reportTimes.find(answer.reportSequence);
    if (report != this->reportTimes.end() && answer.configurationRevision != 0)
        this->configurationConfirmed.emit(answer.configurationRevision, report->second - answer.configurationAge);
    if (answer.reportSequence != 0) {
        this->leaderAnswered.emit(answer.registryRevision, report != this->reportTimes.end() ? report->second - answer.registryAge : BootClock::time_point {}, answer.term);
        this->unconfirmedWindows.confirmed(answer.reportSequence);
        this->applyObservers(answer.observers);
    }
    this->quarantines.applyAnswer(answer, EventLoop::now());
    // The leader answers itself at once; an answer to an earlier report has a time that is no longer known.
    if (answer.reportSequence == 0 || report != this->reportTimes.end()) {
        const auto now = BootClock::now();
        const auto sentAt = answer.reportSequence == 0 ? now : report->second;
        this->limits.applyAnswer(answer, sentAt);
        this->rollouts.applyAnswer(answer, sentAt);
        this->loads.applyAnswer(answer, now - sentAt);
    }
    this->answered.emit(answer);
    FleetShare current;
    current.nodes = std::max<std::size_t>(1, answer.nodes);
    current.otherQuotaShare = answer.otherShare;
    for (const auto& entry : answer.shares)
        current.quotaShares[entry.workspace] = entry.share;
    for (const auto& entry : answer.streamEngines)
        current.streamEngines[entry.service] = entry.count;
    this->metrics.setGauge("nodes_live", static_cast<double>(current.nodes));
    this->share.write(std::move(current));
}

auto CoordinationController::dumpState() const -> nlohmann::json
{
    nlohmann::json state { { "nodes", this->share.value().nodes }, { "known", this->nodeRecords.size() }, { "has_key", this->keyring.has_value() } };
    if (this->board.leadership.value().isCoordinator) {
        const auto now = EventLoop::now();
        state["settings"] = groupNodes("digest", this->nodeRecords, now, [](const NodeReport& report) { return digestText(report.settingsDigest); });
        state["configurations"] = groupNodes("revision", this->nodeRecords, now, [](const NodeReport& report) { return report.configurationRevision; });
    }
    return state;
}

} // namespace Primrosefork
