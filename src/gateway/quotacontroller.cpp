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

constexpr std::chrono::milliseconds checkPeriod = 10ms; ///< Between two looks at questions without an answer.
constexpr std::chrono::milliseconds repeatAfter = 25ms; ///< Well above the way to the leader and back within a region.
constexpr std::chrono::milliseconds giveUpAfter = 75ms; ///< A small part of the shortest objectives.
constexpr auto silentAfter = 1'500ms; ///< Three reports without an answer, after which the leader is not asked.
constexpr auto historyTime = 4s; ///< After a leader was named, in which reports tell it what was let through.
constexpr auto gatherTime = 1'200ms; ///< For nodes to report to a new leader, twice.
constexpr auto heardTime = 1'200ms; ///< Since a node's last report, after which it is taken to grant by itself.
constexpr auto shareTime = 2s; ///< For which the leader's word on a share holds.
constexpr double demandSmoothing = 0.25; ///< Weight of the newest report, so that a share follows within a few.

} // namespace

QuotaController::QuotaController(EventLoop& loop, const GatewaySettings& settings, GatewayBoard& board, Metrics& metrics, const EventLog& log)
    : settings(settings)
    , board(board)
    , metrics(metrics)
    , log(log)
    , own({ settings.bounds.quotaWindow, settings.bounds.quotaExcess, settings.bounds.quotaSlack }, EventLoop::now(), hash64(settings.id + randomHex(8)))
    , ledger({ settings.bounds.quotaWindow, settings.bounds.quotaExcess, settings.bounds.quotaSlack })
    , pendingTimer(loop, [this] { this->checkPending(); })
    , begun(EventLoop::now())
    , lastReport(begun)
{
    this->own.setNodeCount(board.fleetShare.value().nodes);
    board.fleetShare.changed.connect([this](const FleetShare& share) { this->shareChanged(share); });
    board.leadership.changed.connect([this](const Leadership& leadership) { this->leadershipChanged(leadership); });
}

auto QuotaController::isLeading() const -> bool
{
    const auto& leadership = this->board.leadership.value();
    return leadership.isOwn && BootClock::now() < leadership.validUntil;
}

auto QuotaController::request(const TrafficWorkspace& workspace, double units, Handler handler) -> void
{
    if (workspace.quota.perSecond <= 0)
        return handler(std::nullopt);
    const auto now = EventLoop::now();
    if (this->isLeading()) {
        const auto grant = this->answer({ 0, workspace.name, units });
        return handler(this->settle(workspace, units, grant));
    }
    if (this->board.leadership.value().leaderAddress.port == 0 || now - this->leaderHeard > silentAfter)
        return handler(this->grantOwn(workspace, units));
    const auto number = this->nextNumber++;
    this->pending.emplace(number, Pending { workspace, units, std::move(handler), now, false });
    if (!this->pendingTimer.isRunning())
        this->pendingTimer.start(checkPeriod);
    this->asked.emit({ number, workspace.name, units });
}

auto QuotaController::grantOwn(const TrafficWorkspace& workspace, double units) -> std::optional<std::chrono::milliseconds>
{
    this->metrics.count("quota_own_decisions_total");
    return this->own.request(workspace, units, EventLoop::now());
}

auto QuotaController::takeGrant(const QuotaGrant& grant) -> void
{
    this->leaderHeard = EventLoop::now();
    auto found = this->pending.extract(grant.number);
    if (found.empty())
        return;
    const auto& entry = found.mapped();
    entry.handler(this->settle(entry.workspace, entry.units, grant));
}

auto QuotaController::settle(const TrafficWorkspace& workspace, double units, const QuotaGrant& grant) -> std::optional<std::chrono::milliseconds>
{
    if (grant.verdict == QuotaVerdict::Unknown)
        return this->grantOwn(workspace, units);
    this->own.noteAsked(workspace.name, units);
    if (grant.verdict == QuotaVerdict::Refused)
        return grant.wait;
    this->own.noteGranted(workspace.name, units, EventLoop::now());
    return std::nullopt;
}

auto QuotaController::checkPending() -> void
{
    const auto now = EventLoop::now();
    std::vector<std::uint32_t> late;
    std::vector<QuotaQuestion> repeated;
    for (auto& [number, entry] : this->pending) {
        if (now - entry.asked >= giveUpAfter)
            late.push_back(number);
        else if (now - entry.asked >= repeatAfter && !std::exchange(entry.isRepeated, true))
            repeated.push_back({ number, entry.workspace.name, entry.units });
    }
    for (const auto& question : repeated)
        this->asked.emit(question);
    for (const auto number : late) {
        const auto found = this->pending.extract(number);
        this->metrics.count("quota_unanswered_questions_total");
        found.mapped().handler(this->grantOwn(found.mapped().workspace, found.mapped().units));
    }
    if (!this->pending.empty())
        this->pendingTimer.start(checkPeriod);
}

auto QuotaController::answer(const QuotaQuestion& question) -> QuotaGrant
{
    QuotaGrant grant { question.number, QuotaVerdict::Unknown, 0ms };
    const auto& table = this->board.traffic.value().table;
    const auto* workspace = table ? table->workspace(question.workspace) : nullptr;
    if (!this->isLeading() || !workspace || !this->ledger.isOpen(question.workspace))
        return grant;
    const auto wait = this->ledger.request(*workspace, question.units, EventLoop::now());
    grant.verdict = wait ? QuotaVerdict::Refused : QuotaVerdict::Granted;
    grant.wait = wait.value_or(0ms);
    return grant;
}

auto QuotaController::lead(const std::map<std::string, KnownNode>& nodes, std::size_t recordedNodes) -> void
{
    const auto now = EventLoop::now();
    const auto current = this->board.leadership.value().fence;
    if (this->fence != current) {
        this->fence = current;
        this->leadingSince = now;
        this->hasHistory = false;
        this->ledger.clear();
        this->debited.clear();
    }
    this->debitOwnGrants(nodes);
    this->openAccounts(now);
    if (!this->hasHistory && now - this->leadingSince >= gatherTime) {
        this->hasHistory = true;
        this->takeHistory(nodes, recordedNodes, now);
    }
    const auto heard = std::count_if(nodes.begin(), nodes.end(), [now](const auto& entry) { return now - entry.second.heard < heardTime; });
    const auto all = std::max<std::size_t>(1, nodes.size());
    this->ledger.setAskingPart(static_cast<double>(heard) / static_cast<double>(all), now);
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

auto QuotaController::takeHistory(const std::map<std::string, KnownNode>& nodes, std::size_t recordedNodes, EventLoop::TimePoint now) -> void
{
    const auto& table = this->board.traffic.value().table;
    if (!table)
        return;
    // A node that has started since the window began can't tell what was let through before.
    const auto telling = std::count_if(nodes.begin(), nodes.end(), [this](const auto& entry) { return entry.second.report.upTime >= this->settings.bounds.quotaWindow; });
    const auto all = std::max({ nodes.size(), recordedNodes, std::size_t { 1 } });
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
        if (telling > 0)
            this->ledger.takeHistory(workspace, use, static_cast<double>(telling) / static_cast<double>(all), now);
        this->log.write(Event::QuotaAccountOpened,
            { { "workspace", workspace.name }, { "in_window", std::to_string(static_cast<std::int64_t>(use.inWindow)) }, { "telling", std::to_string(telling) },
                { "nodes", std::to_string(all) }, { "fence", std::to_string(this->fence) } });
    }
}

auto QuotaController::debitOwnGrants(const std::map<std::string, KnownNode>& nodes) -> void
{
    for (const auto& [id, node] : nodes) {
        auto& before = this->debited[id];
        const auto isKnown = before.session == node.session;
        if (!isKnown)
            before = { node.session, {} };
        for (const auto& entry : node.report.workspaces) {
            auto& units = before.units[entry.workspace];
            // What a node granted before this leader heard of it is in the use that the account opened with.
            if (isKnown)
                this->ledger.debit(entry.workspace, entry.ownUnits - units);
            units = entry.ownUnits;
        }
    }
}

auto QuotaController::addTo(NodeReport& report) -> void
{
    const auto now = EventLoop::now();
    const auto seconds = std::max(0.001, std::chrono::duration<double>(now - this->lastReport).count());
    this->lastReport = now;
    report.upTime = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->begun);
    for (auto& [workspace, rate] : this->askedPerSecond)
        rate *= 1 - demandSmoothing;
    for (const auto& [workspace, demand] : this->own.takeDemand())
        this->askedPerSecond[workspace] += demandSmoothing * demand.asked / seconds;
    const auto tellsHistory = now - this->leaderSince < historyTime;
    const auto& ownGrants = this->own.ownGrants();
    for (const auto& [workspace, rate] : this->askedPerSecond) {
        const auto granted = ownGrants.find(workspace);
        report.workspaces.push_back({ workspace, static_cast<float>(rate), granted == ownGrants.end() ? 0 : granted->second,
            tellsHistory ? this->own.recentUse(workspace, now) : RecentUse {} });
    }
}

auto QuotaController::shareChanged(const FleetShare& share) -> void
{
    const auto now = EventLoop::now();
    if (!share.quotaShares.empty())
        this->leaderHeard = now;
    this->own.setNodeCount(share.nodes);
    for (const auto& [workspace, part] : share.quotaShares)
        this->own.setShare(workspace, part, now + shareTime);
}

auto QuotaController::leadershipChanged(const Leadership& leadership) -> void
{
    if (leadership.leaderId == this->leaderId)
        return;
    this->leaderId = leadership.leaderId;
    this->leaderSince = EventLoop::now();
    // A new leader is asked at once.
    this->leaderHeard = this->leaderSince;
}

auto QuotaController::dumpState() const -> nlohmann::json
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(EventLoop::now() - this->leaderHeard);
    return { { "waiting", this->pending.size() }, { "leader_heard_ms_ago", age.count() }, { "asked_per_second", this->askedPerSecond } };
}

} // namespace Primrosefork
