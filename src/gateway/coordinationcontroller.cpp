#include "coordinationcontroller.h"

#include "eventlog.h"
#include "hash.h"
#include "metrics.h"

#include <algorithm>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto peerKeyKey = "primrosefork/peer-key";
constexpr auto nodesKey = "primrosefork/nodes";
constexpr auto settledTime = 3s; ///< For which a number of nodes has to hold before it is written.
constexpr std::uint32_t firstSequences = 1U << 24U; ///< An answer to a process before does not fit a report of this one.
constexpr std::size_t secretBytes = 32;
constexpr std::chrono::milliseconds keyRetry = 500ms;
constexpr std::chrono::milliseconds countRetry = 300ms;
constexpr std::chrono::milliseconds reportPeriod = 500ms; ///< A tenth of an accounting window, and several within a quota's.
constexpr auto nodeMemory = 3s; ///< Since its last report, after which a node has no share any more.
constexpr auto countMemory = 30s; ///< Since its last report, while a node's counts may still be due.
constexpr double leastSpare = 0.2; ///< Of each quota that is shared equally, for nodes whose demand is new.

auto askedOf(const NodeReport& report, const std::string& workspace) -> double
{
    for (const auto& entry : report.workspaces) {
        if (entry.workspace == workspace)
            return entry.askedPerSecond;
    }
    return 0;
}

} // namespace

CoordinationController::CoordinationController(EventLoop& loop, KeyValueStore& store, const GatewaySettings& settings, GatewayBoard& board,
    QuotaController& quotas, Metrics& metrics, const EventLog& log, ReportSource reportSource)
    : loop(loop)
    , store(store)
    , settings(settings)
    , board(board)
    , quotas(quotas)
    , metrics(metrics)
    , log(log)
    , reportSource(std::move(reportSource))
    , share(board.fleetShare.acquireWriter("CoordinationController"))
    , socket(loop, [this](const Address& sender, std::span<const std::uint8_t> datagram) { this->received(sender, datagram); })
    , keyTimer(loop, [this] { this->fetchKey(); })
    , countTimer(loop, [this] { this->fetchNodeCount(); })
    , reportTimer(loop, [this] { this->report(); })
    , session(hash64(randomHex(8)))
    , sequence(static_cast<std::uint32_t>(this->session % firstSequences))
    , isAlive(std::make_shared<bool>(true))
{
    this->quotas.asked.connect([this](const QuotaQuestion& question) { this->ask(question); });
}

CoordinationController::~CoordinationController()
{
    *this->isAlive = false;
}

auto CoordinationController::begin() -> std::error_code
{
    if (const auto error = this->socket.bind(this->settings.peers))
        return error;
    this->fetchKey();
    this->fetchNodeCount();
    this->reportTimer.startRepeating(reportPeriod);
    return {};
}

auto CoordinationController::fetchKey() -> void
{
    this->store.get(peerKeyKey, [this, alive = this->isAlive](std::error_code error, const std::optional<StoreEntry>& entry) {
        if (!*alive)
            return;
        if (error)
            return this->keyTimer.start(keyRetry);
        entry ? this->setKey(entry->value) : this->createKey();
    });
}

auto CoordinationController::createKey() -> void
{
    this->store.compareAndSwap({ peerKeyKey, 0, randomHex(secretBytes), 0 }, [this, alive = this->isAlive](std::error_code error, const StoreSwapResult& result) {
        if (!*alive)
            return;
        if (error || result.current.value.empty())
            return this->keyTimer.start(keyRetry);
        this->setKey(result.current.value);
    });
}

auto CoordinationController::setKey(const std::string& secret) -> void
{
    this->keyring.emplace(std::vector<PeerKey> { { 1, secret } });
}

auto CoordinationController::fetchNodeCount() -> void
{
    this->store.get(nodesKey, [this, alive = this->isAlive](std::error_code error, const std::optional<StoreEntry>& entry) {
        if (!*alive)
            return;
        if (error)
            return this->countTimer.start(countRetry);
        if (!entry)
            return;
        this->nodesRevision = entry->revision;
        this->recordedNodes = std::strtoull(entry->value.c_str(), nullptr, 10);
        // A node that has just started goes by what the last leader saw, until this one answers.
        if (this->recordedNodes > 0 && this->share.value().quotaShares.empty())
            this->share.write({ this->recordedNodes, {}, {} });
    });
}

auto CoordinationController::recordNodeCount(std::size_t nodes) -> void
{
    const auto now = EventLoop::now();
    if (nodes != this->changedNodes) {
        this->changedNodes = nodes;
        this->changedSince = now;
    }
    if (nodes == this->recordedNodes || now - this->changedSince < settledTime || std::exchange(this->isRecording, true))
        return;
    this->store.compareAndSwap({ nodesKey, this->nodesRevision, std::to_string(nodes), 0 },
        [this, nodes, alive = this->isAlive](std::error_code error, const StoreSwapResult& result) {
            if (!*alive)
                return;
            this->isRecording = false;
            if (error)
                return;
            this->nodesRevision = result.current.revision;
            this->recordedNodes = result.isSwapped ? nodes : std::strtoull(result.current.value.c_str(), nullptr, 10);
        });
}

auto CoordinationController::report() -> void
{
    const auto& leadership = this->board.leadership.value();
    FleetMessage message;
    message.report = this->reportSource();
    if (leadership.isOwn) {
        message.sender = this->settings.id;
        message.session = this->session;
        message.sequence = ++this->sequence;
        static_cast<void>(this->takeReport(message));
        this->sumReports();
        this->recordNodeCount(this->heardNodes);
        this->quotas.lead(this->known, this->recordedNodes);
        this->divideEngines();
        return this->takeAnswer(this->answerFor(this->settings.id, 0));
    }
    if (leadership.leaderAddress.port == 0)
        return;
    this->lastReport = this->sequence + 1;
    this->lastReportSent = BootClock::now();
    this->send(leadership.leaderAddress, std::move(message));
}

auto CoordinationController::ask(const QuotaQuestion& question) -> void
{
    FleetMessage message;
    message.question = question;
    this->send(this->board.leadership.value().leaderAddress, std::move(message));
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

auto CoordinationController::received(const Address& sender, std::span<const std::uint8_t> datagram) -> void
{
    this->metrics.count("peer_received_bytes_total", datagram.size());
    if (!this->keyring || this->keyring->verify(datagram, this->settings.peers.toString()) != SignatureVerdict::Authentic)
        return this->metrics.count("peer_refused_datagrams_total");
    const auto body = PeerKeyring::bodyOf(datagram);
    const auto message = decodeFleetMessage({ reinterpret_cast<const char*>(body.data()), body.size() });
    if (!message)
        return this->metrics.count("peer_refused_datagrams_total");
    if (message->answer)
        return this->takeAnswer(*message->answer);
    if (message->grant)
        return this->quotas.takeGrant(*message->grant);
    FleetMessage answer;
    if (message->question) {
        answer.grant = this->quotas.answer(*message->question);
        return this->send(sender, std::move(answer));
    }
    if (!this->board.leadership.value().isOwn || !this->takeReport(*message))
        return;
    answer.answer = this->answerFor(message->sender, message->sequence);
    this->send(sender, std::move(answer));
}

auto CoordinationController::takeReport(const FleetMessage& message) -> bool
{
    auto& node = this->known[message.sender];
    // A datagram that was overtaken says nothing new.
    if (!message.report || (node.session == message.session && message.sequence <= node.sequence))
        return false;
    node.session = message.session;
    node.sequence = message.sequence;
    node.report = *message.report;
    node.heard = EventLoop::now();
    std::erase_if(this->known, [now = node.heard](const auto& entry) { return now - entry.second.heard > countMemory; });
    return true;
}

auto CoordinationController::liveNodes() const -> std::size_t
{
    const auto now = EventLoop::now();
    return static_cast<std::size_t>(
        std::count_if(this->known.begin(), this->known.end(), [now](const auto& entry) { return now - entry.second.heard < nodeMemory; }));
}

auto CoordinationController::answerFor(const std::string& nodeId, std::uint32_t reportSequence) const -> FleetAnswer
{
    FleetAnswer answer;
    const auto nodes = std::max<std::size_t>(1, this->heardNodes);
    answer.nodes = static_cast<std::uint32_t>(nodes);
    answer.reportSequence = reportSequence;
    const auto node = this->known.find(nodeId);
    const auto& traffic = this->board.traffic.value();
    answer.registryRevision = this->board.registryRevision.value();
    answer.configurationRevision = traffic.revision;
    answer.configurationAge = std::chrono::ceil<std::chrono::milliseconds>(BootClock::now() - traffic.confirmed);
    if (node == this->known.end() || !traffic.table)
        return answer;
    for (const auto& workspace : traffic.table->configuration().workspaces) {
        const auto found = this->totals.find(workspace.name);
        const auto total = found == this->totals.end() ? 0 : found->second;
        const auto quota = static_cast<double>(std::max<std::int64_t>(1, workspace.quota.perSecond));
        const auto spare = std::max(leastSpare, 1 - total / quota);
        const auto part = total > 0 ? std::min(1.0, askedOf(node->second.report, workspace.name) / total) : 0;
        answer.shares.push_back({ workspace.name, spare / static_cast<double>(nodes) + (1 - spare) * part });
    }
    answer.streamEngines = this->streamEngines;
    return answer;
}

auto CoordinationController::sumReports() -> void
{
    this->heardNodes = this->liveNodes();
    this->totals.clear();
    const auto now = EventLoop::now();
    for (const auto& [id, node] : this->known) {
        if (now - node.heard >= nodeMemory)
            continue;
        for (const auto& entry : node.report.workspaces)
            this->totals[entry.workspace] += entry.askedPerSecond;
    }
}

auto CoordinationController::divideEngines() -> void
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
        for (const auto& [id, node] : this->known) {
            for (const auto& entry : node.report.services)
                open += entry.service == name && now - node.heard < nodeMemory ? entry.openStreams : 0;
        }
        const auto& servers = this->board.backendServers.value();
        const auto engines = std::count_if(
            servers.begin(), servers.end(), [&name = name](const auto& entry) { return entry.second.pool == name && entry.second.state == InstanceState::Live; });
        this->streamEngines.push_back({ name, this->partitions[name].update(open, service.engine->slots, engines) });
    }
}

auto CoordinationController::takeAnswer(const FleetAnswer& answer) -> void
{
    // The leader's read was asked for at least that long before this node's report arrived there.
    if (answer.reportSequence != 0 && answer.reportSequence == this->lastReport && answer.configurationRevision != 0)
        this->configurationConfirmed.emit(answer.configurationRevision, this->lastReportSent - answer.configurationAge);
    if (answer.reportSequence != 0)
        this->leaderAnswered.emit(answer.registryRevision);
    FleetShare current;
    current.nodes = std::max<std::size_t>(1, answer.nodes);
    for (const auto& entry : answer.shares)
        current.quotaShares[entry.workspace] = entry.share;
    for (const auto& entry : answer.streamEngines)
        current.streamEngines[entry.service] = entry.count;
    this->metrics.setGauge("nodes_live", static_cast<double>(current.nodes));
    this->share.write(std::move(current));
}

auto CoordinationController::dumpState() const -> nlohmann::json
{
    return { { "nodes", this->share.value().nodes }, { "known", this->known.size() }, { "has_key", this->keyring.has_value() } };
}

} // namespace Primrosefork
