#include "quotacontroller.h"

#include "coordinationcontroller.h"
#include "eventlog.h"
#include "hash.h"
#include "metrics.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::milliseconds pendingCheckPeriod = 10ms; ///< Period at which requests without a reply are checked.
constexpr std::chrono::milliseconds requestRetryTime = 25ms; ///< Time without a reply after which a request is repeated; well above the round trip to the leader within a region.
constexpr std::chrono::milliseconds requestTimeout = 75ms; ///< Time without a reply after which the node decides itself; a small part of the shortest latency objectives.
constexpr auto leaderTimeout = 1'500ms; ///< Time without an answer, three report periods long, after which no requests are sent to the leader.
constexpr auto historyReportTime = 4s; ///< Time after a change of the leader in which reports include the units granted recently.
constexpr auto reportGatherTime = 1'200ms; ///< Longest time for the nodes to report to a new leader.
constexpr double minReportedPart = 0.95; ///< Part of the nodes whose reports suffice before that; the others count as their mean.
constexpr std::chrono::milliseconds accountsTimeout = 1'200ms; ///< Time without an update after which the accounts are no longer used; two updates may be late.
constexpr auto nodeTimeout = 1'200ms; ///< Time after its last report at which a node is assumed to grant from its own share.
constexpr auto shareValidity = 2s; ///< Time for which a share assigned by the leader is valid.
constexpr double demandSmoothing = 0.25; ///< Weight of the newest report: a share follows the demand within a few reports.

} // namespace

QuotaController::QuotaController(EventLoop& loop, const GatewaySettings& settings, GatewayBoard& board, Metrics& metrics, const EventLog& log)
    : settings(settings)
    , board(board)
    , metrics(metrics)
    , log(log)
    , localLimiter({ settings.bounds.quotaWindow, settings.bounds.quotaExcess, settings.bounds.quotaSlack }, EventLoop::now(), hash64(settings.id + randomHex(8)))
    , ledger({ settings.bounds.quotaWindow, settings.bounds.quotaExcess, settings.bounds.quotaSlack })
    , pendingTimer(loop, [this] { this->checkPending(); })
    , startTime(EventLoop::now())
    , lastReport(startTime)
{
    this->localLimiter.setNodeCount(board.fleetShare.value().nodes);
    board.fleetShare.changed.connect([this](const FleetShare& share) { this->shareChanged(share); });
    board.leadership.changed.connect([this](const Leadership& leadership) { this->leadershipChanged(leadership); });
}

auto QuotaController::keepsAccounts() const -> bool
{
    const auto now = BootClock::now();
    const auto& leadership = this->board.leadership.value();
    return leadership.isCoordinator && leadership.hasCoordinator(now) && now - this->lastUpdate < accountsTimeout;
}

auto QuotaController::request(const TrafficWorkspace& workspace, double units, Handler handler) -> void
{
    if (workspace.quota.perSecond <= 0)
        return handler(std::nullopt);
    const auto now = EventLoop::now();
    if (this->keepsAccounts()) {
        const auto reply = this->replyTo({ 0, workspace.name, units });
        return handler(this->decide(workspace, units, reply));
    }
    if (!this->board.leadership.value().hasCoordinator(BootClock::now()) || now - this->lastLeaderAnswer > leaderTimeout)
        return handler(this->decideLocally(workspace, units));
    const auto number = this->nextNumber++;
    this->pending.emplace(number, Pending { workspace, units, std::move(handler), now, false });
    if (!this->pendingTimer.isRunning())
        this->pendingTimer.start(pendingCheckPeriod);
    this->requestIssued.emit({ number, workspace.name, units });
}

auto QuotaController::decideLocally(const TrafficWorkspace& workspace, double units) -> std::optional<std::chrono::milliseconds>
{
    this->metrics.count("quota_own_decisions_total");
    return this->localLimiter.request(workspace, units, EventLoop::now());
}

auto QuotaController::applyReply(const QuotaReply& reply) -> void
{
    this->lastLeaderAnswer = EventLoop::now();
    auto found = this->pending.extract(reply.number);
    if (found.empty())
        return;
    const auto& entry = found.mapped();
    entry.handler(this->decide(entry.workspace, entry.units, reply));
}

auto QuotaController::decide(const TrafficWorkspace& workspace, double units, const QuotaReply& reply) -> std::optional<std::chrono::milliseconds>
{
    if (reply.verdict == QuotaVerdict::NoAccount)
        return this->decideLocally(workspace, units);
    this->localLimiter.recordRequested(workspace.name, units);
    if (reply.verdict == QuotaVerdict::Refused)
        return reply.wait;
    this->localLimiter.recordGranted(workspace.name, units, EventLoop::now());
    return std::nullopt;
}

auto QuotaController::checkPending() -> void
{
    const auto now = EventLoop::now();
    std::vector<std::uint32_t> timedOut;
    std::vector<QuotaRequest> retried;
    for (auto& [number, entry] : this->pending) {
        if (now - entry.sentAt >= requestTimeout)
            timedOut.push_back(number);
        else if (now - entry.sentAt >= requestRetryTime && !std::exchange(entry.isRetried, true))
            retried.push_back({ number, entry.workspace.name, entry.units });
    }
    for (const auto& quotaRequest : retried)
        this->requestIssued.emit(quotaRequest);
    for (const auto number : timedOut) {
        const auto found = this->pending.extract(number);
        this->metrics.count("quota_unanswered_questions_total");
        found.mapped().handler(this->decideLocally(found.mapped().workspace, found.mapped().units));
    }
    if (!this->pending.empty())
        this->pendingTimer.start(pendingCheckPeriod);
}

auto QuotaController::replyTo(const QuotaRequest& quotaRequest) -> QuotaReply
{
    QuotaReply reply { quotaRequest.number, QuotaVerdict::NoAccount, 0ms };
    const auto& table = this->board.traffic.value().table;
    const auto* workspace = table ? table->workspace(quotaRequest.workspace) : nullptr;
    if (!this->keepsAccounts() || !workspace || !this->ledger.isOpen(quotaRequest.workspace))
        return reply;
    const auto wait = this->ledger.request(*workspace, quotaRequest.units, EventLoop::now());
    reply.verdict = wait ? QuotaVerdict::Refused : QuotaVerdict::Granted;
    reply.wait = wait.value_or(0ms);
    return reply;
}

auto QuotaController::updateAccounts(const std::map<std::string, NodeRecord>& nodes, std::size_t recordedNodes) -> void
{
    const auto now = EventLoop::now();
    const auto& leadership = this->board.leadership.value();
    const auto current = leadership.fence;
    // A node that leads again while no other can have led has kept the accounts all along.
    const auto isSameCoordination = std::exchange(this->coordinationFence, leadership.coordinationFence) == leadership.coordinationFence;
    const auto isContinued = !std::exchange(this->hasCeased, false) && isSameCoordination && this->ledger.isAnyOpen() && BootClock::now() - this->lastUpdate < accountsTimeout;
    if (this->fence != current && isContinued)
        this->fence = current;
    if (this->fence != current) {
        this->fence = current;
        this->leadingSince = now;
        this->isHistoryApplied = false;
        this->expectedNodes = this->board.fleetShare.value().nodes;
        this->ledger.clear();
        this->debitedGrants.clear();
    }
    // The process was paused: others may have granted units meanwhile, so the accounts open with nothing but what flows in.
    if (this->ledger.isAnyOpen() && BootClock::now() - this->lastUpdate >= accountsTimeout) {
        this->ledger.clear();
        this->isHistoryApplied = true;
    }
    this->lastUpdate = BootClock::now();
    this->debitLocalGrants(nodes);
    this->openAccounts(now);
    if (!this->isHistoryApplied && this->hasHistory(nodes, recordedNodes, now)) {
        this->isHistoryApplied = true;
        this->applyHistory(nodes, recordedNodes, now);
    }
    const auto reportingNodes = std::count_if(nodes.begin(), nodes.end(), [now](const auto& entry) { return now - entry.second.receivedAt < nodeTimeout; });
    const auto nodeCount = std::max<std::size_t>(1, nodes.size());
    this->ledger.setServedFraction(static_cast<double>(reportingNodes) / static_cast<double>(nodeCount), now);
}

auto QuotaController::hasHistory(const std::map<std::string, NodeRecord>& nodes, std::size_t recordedNodes, EventLoop::TimePoint now) const -> bool
{
    if (now - this->leadingSince >= reportGatherTime)
        return true;
    const auto telling = std::count_if(nodes.begin(), nodes.end(), [this](const auto& entry) { return entry.second.report.term == this->fence; });
    return static_cast<double>(telling) >= minReportedPart * static_cast<double>(std::max({ nodes.size(), recordedNodes, this->expectedNodes }));
}

auto QuotaController::openAccounts(EventLoop::TimePoint now) -> void
{
    const auto& table = this->board.traffic.value().table;
    if (!table)
        return;
    for (const auto& workspace : table->configuration().workspaces) {
        if (workspace.quota.perSecond > 0 && !this->ledger.isOpen(workspace.name))
            this->ledger.open(workspace, now);
    }
}

auto QuotaController::applyHistory(const std::map<std::string, NodeRecord>& nodes, std::size_t recordedNodes, EventLoop::TimePoint now) -> void
{
    const auto& table = this->board.traffic.value().table;
    if (!table)
        return;
    // A node that started less than a quota window ago does not know what was granted before its start.
    const auto nodesWithHistory = std::count_if(nodes.begin(), nodes.end(), [this](const auto& entry) { return entry.second.report.term == this->fence && entry.second.report.upTime >= this->settings.bounds.quotaWindow; });
    const auto nodeCount = std::max({ nodes.size(), recordedNodes, std::size_t { 1 } });
    for (const auto& workspace : table->configuration().workspaces) {
        if (workspace.quota.perSecond <= 0)
            continue;
        RecentUse use;
        for (const auto& [id, node] : nodes) {
            for (const auto& entry : node.report.workspaces) {
                if (entry.workspace == workspace.name)
                    use.add(entry.recentUse);
            }
        }
        if (nodesWithHistory > 0)
            this->ledger.applyRecentUse(workspace, use, static_cast<double>(nodesWithHistory) / static_cast<double>(nodeCount), now);
        this->log.write(Event::QuotaAccountOpened,
            { { "workspace", workspace.name }, { "in_window", std::to_string(static_cast<std::int64_t>(use.inWindow)) }, { "telling", std::to_string(nodesWithHistory) },
                { "nodes", std::to_string(nodeCount) }, { "fence", std::to_string(this->fence) } });
    }
}

auto QuotaController::debitLocalGrants(const std::map<std::string, NodeRecord>& nodes) -> void
{
    for (const auto& [id, node] : nodes) {
        auto& before = this->debitedGrants[id];
        const auto isKnown = before.session == node.session;
        if (!isKnown)
            before = { node.session, {} };
        for (const auto& entry : node.report.workspaces) {
            auto& units = before.units[entry.workspace];
            // Grants from before the node's first report to this leader are part of the history that is applied to the account.
            if (isKnown)
                this->ledger.debit(entry.workspace, entry.locallyGrantedUnits - units);
            units = entry.locallyGrantedUnits;
        }
    }
}

auto QuotaController::addToReport(NodeReport& report) -> void
{
    const auto now = EventLoop::now();
    const auto seconds = std::max(0.001, std::chrono::duration<double>(now - this->lastReport).count());
    this->lastReport = now;
    report.upTime = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->startTime);
    for (auto& [workspace, rate] : this->requestedPerSecond)
        rate *= 1 - demandSmoothing;
    for (const auto& [workspace, demand] : this->localLimiter.takeDemand())
        this->requestedPerSecond[workspace] += demandSmoothing * demand.requested / seconds;
    const auto includesHistory = now - this->leaderSince < historyReportTime;
    const auto& ownGrants = this->localLimiter.ownGrants();
    for (const auto& [workspace, rate] : this->requestedPerSecond) {
        const auto granted = ownGrants.find(workspace);
        report.workspaces.push_back({ workspace, static_cast<float>(rate), granted == ownGrants.end() ? 0 : granted->second,
            includesHistory ? this->localLimiter.recentUse(workspace, now) : RecentUse {} });
    }
}

auto QuotaController::shareChanged(const FleetShare& share) -> void
{
    const auto now = EventLoop::now();
    this->localLimiter.setNodeCount(share.nodes);
    const auto& table = this->board.traffic.value().table;
    if (!table || share.otherQuotaShare <= 0)
        return;
    this->lastLeaderAnswer = now;
    for (const auto& workspace : table->configuration().workspaces) {
        const auto found = share.quotaShares.find(workspace.name);
        this->localLimiter.setShare(workspace.name, found == share.quotaShares.end() ? share.otherQuotaShare : found->second, now + shareValidity);
    }
}

auto QuotaController::leadershipChanged(const Leadership& leadership) -> void
{
    this->hasCeased = this->hasCeased || !leadership.isCoordinator;
    if (leadership.term == 0 || leadership.term == this->term)
        return;
    this->term = leadership.term;
    this->leaderSince = EventLoop::now();
    // Requests are sent to a new leader at once, without waiting for its first answer.
    this->lastLeaderAnswer = this->leaderSince;
}

auto QuotaController::dumpState() const -> nlohmann::json
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(EventLoop::now() - this->lastLeaderAnswer);
    return { { "waiting", this->pending.size() }, { "leader_heard_ms_ago", age.count() }, { "asked_per_second", this->requestedPerSecond } };
}

} // namespace Primrosefork
