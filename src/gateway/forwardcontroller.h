#pragma once

#include "admissioncontroller.h"
#include "answertimes.h"
#include "attemptbudget.h"
#include "backendpool.h"
#include "cacheawarepolicy.h"
#include "fleetmessage.h"
#include "forwardrun.h"
#include "gatewayboard.h"
#include "gatewaysettings.h"
#include "promptmonitor.h"
#include "quotacontroller.h"
#include "rolloutrouting.h"
#include "runmover.h"
#include "serveravailability.h"
#include "serverindex.h"
#include "serverlimitcontroller.h"
#include "sharedloadcontroller.h"
#include "statesource.h"
#include "wallclock.h"
#include "zoneselector.h"

#include <map>
#include <memory>
#include <random>
#include <string>

namespace Primrosefork {

class EventLog;
class Metrics;

/**
 * Receives callers' requests, decides whether they are admitted, and owns the
 * runs that forward them to backend servers.
 */
class ForwardController : public StateSource, private ServerSelector {
public:
    ForwardController(EventLoop&, const HeaderCodec&, RunMover&, const GatewaySettings&, GatewayBoard&, QuotaController&, ServerLimitController&, SharedLoadController&, PromptMonitor&, BufferBudget&, const WallClock&, Metrics&, const EventLog&);
    ~ForwardController() override;

    auto handle(const std::shared_ptr<CallerExchange>&) -> void;

    /** Answers all callers by \a moment, and refuses requests that are not expected to be answered by then. */
    auto answerBefore(EventLoop::TimePoint moment) -> void;

    /** Returns this node's report to the leader; rates cover the time since the last call. */
    auto makeReport() -> NodeReport;

    /** Returns the part that decides which requests wait for room. */
    [[nodiscard]] auto admission() -> AdmissionController& { return this->admissions; }
    [[nodiscard]] auto admission() const -> const AdmissionController& { return this->admissions; }
    /** Sets what decides which requests leave the zone; without it none do by decision of the leader. */
    auto setZoneSelector(ZoneSelector& selector) -> void { this->zoneSelector = &selector; }
    /** Returns how this node holds roll-outs, for the state dump. */
    [[nodiscard]] auto rolloutState() const -> const StateSource& { return this->rollouts; }

    [[nodiscard]] auto openCount() const -> std::size_t { return this->runs.size(); }

    /** Returns whether the configuration was confirmed so recently that a revoked credential would be known by now; only then are requests with a credential served. */
    [[nodiscard]] auto isConfigurationFresh() const -> bool;

    [[nodiscard]] auto stateName() const -> std::string override { return "requests"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    /** The answer to a request that is not admitted. */
    struct Refusal {
        int status = 0;
        const char* reason = "";
        std::optional<std::chrono::milliseconds> retryAfter;
    };

    auto admit(ForwardRequest&, const MessageHead&) -> std::optional<Refusal>;
    auto admitWorkspace(ForwardRequest&) -> std::optional<Refusal>;
    auto admitUntilDeadline(ForwardRequest&) -> std::optional<Refusal>;
    auto refuse(CallerExchange&, const ForwardRequest&, const Refusal&) -> void;
    auto quotaDecided(ForwardRequest, const std::shared_ptr<CallerExchange>&, std::optional<std::chrono::milliseconds> wait) -> void;
    /** Returns whether the request is expected to be answered before a stop that has begun ends. */
    [[nodiscard]] auto isAnsweredInTime(const ForwardRequest&) const -> bool;
    auto runEnded(std::uint64_t id) -> void;
    auto start(ForwardRequest, const std::shared_ptr<CallerExchange>&) -> void;
    auto advanceWaiting() -> void;
    /** Starts requests that were held, as far as servers have room for them now. */
    auto advanceHeld() -> void;
    auto moveRuns(const BackendServers&) -> void;
    auto serversChanged(const BackendServers&) -> void;
    auto shareChanged(const FleetShare&) -> void;
    auto assignStreamEngines() -> void;
    auto budgetOf(const std::string& service) -> AttemptBudget&;
    auto chooseServer(const ForwardRequest&, const std::set<std::string>& excluded, EventLoop::TimePoint now) -> const BackendServer* override;
    auto tryAcquireAttempt(const std::string& service, EventLoop::TimePoint now) -> bool override;
    auto serverMoved(const std::string& id) -> void override;
    auto replyReceived(const BackendServer&, const ReplyFields&) -> void override;
    auto requestSent(const BackendServer& server) -> void override { this->limits.requestSent(server); }
    auto requestRoom(const ForwardRequest&, const std::set<std::string>& excluded, EventLoop::TimePoint now) -> RoomDecision override;
    auto roomDelay(const ForwardRequest& request, EventLoop::TimePoint now) -> std::optional<std::chrono::milliseconds> override;
    auto attemptBegan(const ForwardRequest& request, const BackendServer&, EventLoop::TimePoint now) -> void override { this->admissions.attemptBegan(request, now); }
    auto attemptEnded(const ForwardRequest& request, const BackendServer&, AttemptEnd end, EventLoop::TimePoint now) -> void override { this->admissions.attemptEnded(request, end, now); }
    auto serverFull(const BackendServer& server, EventLoop::TimePoint now) -> void override { this->admissions.serverFull(server, now); }
    /** Returns the servers that may get the request as far as it is known, none of \a excluded. */
    auto suitableServers(const ForwardRequest&, const ServerIndex&, const std::set<std::string>& excluded, EventLoop::TimePoint now, std::string_view overflowZone = {}) -> std::vector<const BackendServer*>;
    auto suitableServers(const ForwardRequest&, const std::set<std::string>& excluded, EventLoop::TimePoint now) -> std::vector<const BackendServer*>;
    auto pauseLeft(const std::string& service, EventLoop::TimePoint now) -> std::optional<std::chrono::milliseconds> override;
    [[nodiscard]] auto mayResumeCopy(const BackendServer&, EventLoop::TimePoint now) const -> bool override;
    auto logLeftOut(const std::string& id, UnavailableReason, std::optional<std::chrono::milliseconds> duration) -> void;
    /** Returns the rate of requests by service; \a seconds have passed since the last call. */
    auto takeDemand(double seconds) -> std::map<std::string, ServiceReport>;
    [[nodiscard]] auto hasFreeConnection(const BackendServer&, const TrafficService&) const -> bool;

    EventLoop& loop;
    const HeaderCodec& dialect;
    const GatewaySettings& settings;
    GatewayBoard& board;
    QuotaController& quotas;
    ServerLimitController& limits;
    SharedLoadController& loads;
    PromptMonitor& prompts;
    const WallClock& clock;
    Metrics& metrics;
    const EventLog& log;
    BackendPool pool;
    CacheAwarePolicy policy;
    AdmissionController admissions;
    RolloutRouting rollouts;
    UsageLedger usage;
    ZoneSelector* zoneSelector = nullptr;
    ForwardContext context;
    std::map<std::string, AttemptBudget> budgets;
    std::map<std::string, ServerIndex> serversByService; ///< Live servers, which may get new requests, by service.
    std::map<std::string, std::int64_t> streamEngines; ///< Number of engines that serve long streams, by service.
    std::map<std::string, std::int64_t> serverStartTimes; ///< Start time of each server as registered, by id, to detect a restart.
    ServerAvailability availability; ///< Which of the live servers get no requests, by their own answers.
    std::map<std::string, std::int64_t> readTokens; ///< Prompt tokens that engines had to read since the last report, by service.
    std::map<std::string, std::int64_t> receivedRequests; ///< Requests since the last report, by service.
    std::map<std::string, double> requestsPerSecond; ///< Smoothed rate of these requests, by service.
    std::map<std::string, double> readTokensPerSecond; ///< Smoothed rate of these tokens, by service.
    std::map<std::uint64_t, std::unique_ptr<ForwardRun>> runs;
    AnswerTimes answerTimes;
    std::optional<EventLoop::TimePoint> answersDue; ///< Time by which all callers are answered, because the node stops.
    Timer waitTimer;
    Timer moveTimer; ///< Runs while requests run at servers that stated in an answer that they leave.
    std::minstd_rand random;
    std::uint64_t nextId = 1;
    std::size_t nodeCount;
    EventLoop::TimePoint lastReport;
};

} // namespace Primrosefork
