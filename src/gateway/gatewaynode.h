#pragma once

#include "callerlistener.h"
#include "coordinationcontroller.h"
#include "eventlog.h"
#include "eventloop.h"
#include "fleetapi.h"
#include "fleetcontroller.h"
#include "forwardcontroller.h"
#include "gatewayboard.h"
#include "gatewaysettings.h"
#include "headercodec.h"
#include "httpserver.h"
#include "intakecontroller.h"
#include "keyvaluestore.h"
#include "leadershipcontroller.h"
#include "metrics.h"
#include "overflowcontroller.h"
#include "quarantinecontroller.h"
#include "quotacontroller.h"
#include "registrycontroller.h"
#include "relaycontroller.h"
#include "rolloutcontroller.h"
#include "runmover.h"
#include "serverlimitcontroller.h"
#include "settingsmonitor.h"
#include "sharedloadcontroller.h"
#include "stopcontroller.h"
#include "storeepochmonitor.h"
#include "trafficcontroller.h"
#include "trafficdocuments.h"
#include "usagecontroller.h"
#include "wallclock.h"

#include <memory>
#include <system_error>

namespace Primrosefork {

/** The clients of one platform's systems that a gateway node uses. */
struct GatewaySystems {
    std::unique_ptr<KeyValueStore> store;
    std::unique_ptr<FleetApi> fleet;
    std::unique_ptr<TrafficDocuments> documents;
    std::unique_ptr<HeaderCodec> dialect;
    std::unique_ptr<RunMover> mover;
};

/**
 * One gateway node: its board, its controllers and its ports.
 */
class GatewayNode {
public:
    GatewayNode(EventLoop&, const GatewaySettings&, GatewaySystems);

    /** Opens the ports and starts the controllers. */
    auto begin() -> std::error_code;

    /** Begins a graceful stop for \a reason; the event loop ends when the stop is complete. */
    auto requestStop(const char* reason) -> void { this->lifecycle.requestStop(reason); }

    /** Applies the bounds of \a next, the settings file as read again; everything else needs a restart. */
    auto settingsReloaded(const GatewaySettings& next) -> void { this->settingsMonitor.reloaded(next); }

    /** Records \a findings: the settings file was read again and is invalid, so the old settings stay. */
    auto settingsRejected(const Findings& findings) -> void { this->settingsMonitor.rejected(findings); }

    /** Writes the state dump to standard error. */
    auto writeStateDump() const -> void;

    [[nodiscard]] auto board() const -> const GatewayBoard& { return this->shared; }

private:
    auto beginListening() -> std::error_code;

    /** Connects the controllers that follow the store with those that confirm or restore what it holds. */
    auto connectKnowledge() -> void;
    auto answerOperator(const std::shared_ptr<HttpExchange>&) -> void;
    auto sampleClock() -> void;
    [[nodiscard]] auto dumpState() const -> nlohmann::json;
    [[nodiscard]] auto stateText() const -> std::string;

    EventLoop& loop;
    GatewaySettings settings;
    GatewaySystems systems;
    EventLog log;
    BufferBudget buffers; ///< For requests and answers.
    Intake intake;
    Metrics metrics;
    GatewayBoard shared;
    WallClock clock;
    SettingsMonitor settingsMonitor;
    StoreEpochMonitor epochs;
    Timer clockTimer;
    QuotaController quotas;
    QuarantineController quarantines;
    ServerLimitController limits;
    SharedLoadController loads;
    RolloutController rollouts;
    ForwardController forwarding;
    TrafficController traffic;
    RegistryController registry;
    LeadershipController leadership;
    RelayController relay;
    CoordinationController coordination;
    OverflowController overflow;
    UsageController usageReports;
    FleetController fleet;
    CallerListener callers;
    IntakeController intakeControl;
    StopController lifecycle;
    HttpServer readinessServer;
    HttpServer operatorServer;
};

} // namespace Primrosefork
