#pragma once

#include "administrationapi.h"
#include "backendcontroller.h"
#include "blackboard.h"
#include "budgetretrypolicy.h"
#include "callerserver.h"
#include "candidatecache.h"
#include "configurationcontroller.h"
#include "configurationfetcher.h"
#include "configurationwriter.h"
#include "eventlog.h"
#include "eventloop.h"
#include "fairadmissionpolicy.h"
#include "httpclient.h"
#include "httpcloudapi.h"
#include "httpengines.h"
#include "httpinstancelist.h"
#include "httpkeyvaluestore.h"
#include "lifecyclecontroller.h"
#include "loadcontroller.h"
#include "membershipcontroller.h"
#include "metrics.h"
#include "nodesettings.h"
#include "noticecontroller.h"
#include "operatorserver.h"
#include "plainservice.h"
#include "requestcontroller.h"
#include "routingpolicy.h"
#include "storeclaimmanager.h"

#include <memory>

namespace Primrosefork {

/**
 * One entry node: owns its blackboard, controllers and servers, and connects them.
 */
class Node {
public:
    Node(EventLoop&, NodeSettings);

    /** Opens the ports and starts the controllers. */
    auto begin() -> std::error_code;

    /** Begins the planned stop, which is logged with \a reason; the event loop stops when it is done. */
    auto requestStop(const char* reason) -> void;

    /** Writes the state dump to standard error. */
    auto writeStateDump() const -> void;

    [[nodiscard]] auto board() const -> const Blackboard& { return this->blackboard; }

private:
    auto connectSignals() -> void;
    auto addStateSources() -> void;
    auto connectPeers() -> void;
    auto updateCapacity() -> void;
    auto stopBeforeReclaim(const ReclaimNotices&, const char* reason) -> void;
    auto beginPeers() -> std::error_code;

    EventLoop& loop;
    NodeSettings settings;
    EventLog log;
    Metrics metrics;
    Blackboard blackboard;
    CandidateCache candidates { this->blackboard }; ///< Declared before all controllers, so that it is notified of changes first.
    HttpClient httpClient;
    HttpKeyValueStore store;
    HttpInstanceList instanceList;
    HttpCloudApi cloudApi;
    HttpEngines engines;
    HttpPlainServices plainServices;
    std::unique_ptr<RoutingPolicy> routing;
    BudgetRetryPolicy retries;
    FairAdmissionPolicy admission;
    StoreClaimManager claims;
    ConfigurationController configuration;
    ConfigurationWriter configurationWriter;
    BackendController backends;
    LoadController load;
    NoticeController notices;
    MembershipController membership;
    ConfigurationFetcher configurationFetcher;
    RequestController requests;
    LifecycleController lifecycle;
    CallerServer callerServer;
    AdministrationApi administration;
    OperatorServer operatorServer;
};

} // namespace Primrosefork
