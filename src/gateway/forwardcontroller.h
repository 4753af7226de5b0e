#pragma once

#include "attemptbudget.h"
#include "backendpool.h"
#include "cacheawarepolicy.h"
#include "fleetmessage.h"
#include "forwardrun.h"
#include "gatewayboard.h"
#include "gatewaysettings.h"
#include "quotacontroller.h"
#include "runmover.h"
#include "statesource.h"
#include "wallclock.h"

#include <map>
#include <memory>
#include <random>
#include <string>

namespace Primrosefork {

class EventLog;
class Metrics;

/**
 * Takes callers' requests, decides whether they are let through, and keeps the
 * runs that bring them to their answers.
 */
class ForwardController : public StateSource, private ServerSource {
public:
    ForwardController(EventLoop&, const HeaderDialect&, RunMover&, const GatewaySettings&, GatewayBoard&, QuotaController&, const WallClock&, Metrics&, const EventLog&);
    ~ForwardController() override;

    auto handle(const std::shared_ptr<CallerExchange>&) -> void;

    /** Returns what this node tells the leader, about the time since the last call. */
    auto takeReport() -> NodeReport;

    [[nodiscard]] auto openCount() const -> std::size_t { return this->runs.size(); }

    /** Returns whether requests with a credential may be served: whether one that was taken away would be known by now. */
    [[nodiscard]] auto isKnowledgeFresh() const -> bool;

    [[nodiscard]] auto stateName() const -> std::string override { return "requests"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    /** Why a request is not let through. */
    struct Refusal {
        int status = 0;
        const char* reason = "";
        std::optional<std::chrono::milliseconds> retryAfter;
    };

    auto admit(ForwardRequest&, const MessageHead&) -> std::optional<Refusal>;
    auto admitWorkspace(ForwardRequest&) -> std::optional<Refusal>;
    auto refuse(CallerExchange&, const ForwardRequest&, const Refusal&) -> void;
    auto quotaDecided(ForwardRequest, const std::shared_ptr<CallerExchange>&, std::optional<std::chrono::milliseconds> wait) -> void;
    auto start(ForwardRequest, const std::shared_ptr<CallerExchange>&) -> void;
    auto advanceWaiting() -> void;
    auto moveRuns(const BackendServers&) -> void;
    auto serversChanged(const BackendServers&) -> void;
    auto shareChanged(const FleetShare&) -> void;
    auto divideEngines() -> void;
    auto budgetOf(const std::string& service) -> AttemptBudget&;
    auto chooseServer(const ForwardRequest&, const std::set<std::string>& excluded, EventLoop::TimePoint now) -> const BackendServer* override;
    auto takeAttempt(const std::string& service, EventLoop::TimePoint now) -> bool override;
    auto serverMoved(const std::string& id) -> void override;
    [[nodiscard]] auto hasPlace(const BackendServer&, const TrafficService&) const -> bool;

    EventLoop& loop;
    const HeaderDialect& dialect;
    const GatewaySettings& settings;
    GatewayBoard& board;
    QuotaController& quotas;
    const WallClock& clock;
    Metrics& metrics;
    const EventLog& log;
    BackendPool pool;
    CacheAwarePolicy policy;
    UsageLedger usage;
    ForwardContext context;
    std::map<std::string, AttemptBudget> budgets;
    std::map<std::string, std::vector<const BackendServer*>> serversByService; ///< Those that may be given work.
    std::map<std::string, std::int64_t> streamEngines; ///< Number of those that serve long streams.
    std::map<std::string, std::int64_t> startedAt; ///< Of each server, to notice that one started anew.
    std::map<std::string, EventLoop::TimePoint> moved; ///< Servers whose address another one answered at, and until when they are passed over.
    std::map<std::string, std::int64_t> readTokens; ///< That engines had to read since the last report, by service.
    std::map<std::string, double> readPerSecond; ///< The same by the second, smoothed.
    std::map<std::uint64_t, std::unique_ptr<ForwardRun>> runs;
    Timer waitTimer;
    std::minstd_rand random;
    std::uint64_t nextId = 1;
    std::size_t nodeCount;
    EventLoop::TimePoint lastReport;
};

} // namespace Primrosefork
