#pragma once

#include "eventloop.h"
#include "faultplan.h"
#include "faultyserver.h"
#include "linkproxy.h"
#include "promiseledger.h"
#include "soakcaller.h"
#include "soaknode.h"
#include "storestandin.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Primrosefork::Measure {

/** The size of a soak run. */
struct SoakOptions {
    PlanOptions plan;
    std::size_t callersPerNode = 6;
};

/**
 * Runs gateway nodes between callers and servers, brings about the faults of a
 * plan, and reports to a ledger what callers and servers see.
 */
class SoakRun : public Testkit::ServerObserver, public CallObserver {
public:
    using Time = PromiseLedger::Time;

    explicit SoakRun(const SoakOptions&);
    ~SoakRun() override;
    SoakRun(const SoakRun&) = delete;
    auto operator=(const SoakRun&) -> SoakRun& = delete;

    /** Runs the plan to its end; returns false when the nodes did not serve at its beginning. */
    auto run() -> bool;

    [[nodiscard]] auto plan() const -> const std::vector<PlannedFault>& { return this->faults; }
    [[nodiscard]] auto ledger() -> PromiseLedger& { return this->promises; }
    [[nodiscard]] auto faultCounts() const -> const std::map<std::string, int>& { return this->counts; }

    /** Returns the folder with the settings and logs of the nodes. */
    [[nodiscard]] auto folder() const -> const std::string& { return this->logFolder; }

    auto requestArrived(const std::string& server, const std::string& request) -> void override;
    auto requestRan(const std::string& server, const std::string& request) -> void override;
    auto requestHarmed(const std::string& request) -> void override;
    auto pauseAsked(const std::string& server, const std::string& request, std::chrono::milliseconds pause) -> void override;
    auto leavingSaid(const std::string& server, const std::string& request) -> void override;
    auto callSucceeded(std::size_t node, CallKind, Time sentAt) -> void override;

private:
    struct Action {
        Time at { 0 };
        std::function<void()> task;
    };

    /** When each kind of call first succeeded on a node since the last fault. */
    using Successes = std::array<std::optional<Time>, 3>;

    auto now() const -> Time;
    auto later(Time delay, std::function<void()> task) -> void;
    auto poll() -> void;
    auto pollFaults(Time) -> void;
    auto pollCalm(Time) -> void;
    auto endCalm(Time) -> void;
    auto measureNodes() -> void;
    auto begin(const PlannedFault&) -> void;
    auto beginNodeFault(const PlannedFault&) -> void;
    auto beginStoreFault(const PlannedFault&) -> void;
    auto beginServerFault(const PlannedFault&) -> void;

    /** Begins a fault between the nodes and a server; returns false when \a fault is none. */
    auto beginLinkFault(const PlannedFault& fault) -> bool;

    /** Ends the process of server \a index. */
    auto crashServer(std::size_t index) -> void;

    /** Starts a newer process of server \a index. */
    auto startServer(std::size_t index) -> void;
    auto writeConfiguration(std::size_t moreWorkspaces) -> void;
    auto registerServer(std::size_t index, const char* state) -> void;

    /** Ends the process of server \a index, and brings it back as a newer one. */
    auto replaceServer(std::size_t index) -> void;

    /** Treats the calls of all nodes to the store as the faults under way say. */
    auto updateStore() -> void;
    [[nodiscard]] auto serviceOf(std::size_t server) const -> std::string;
    [[nodiscard]] auto entranceOf(std::size_t node) const -> Address;
    [[nodiscard]] auto haveAllServed() const -> bool;

    SoakOptions options;
    std::string network;
    std::string logFolder;
    EventLoop loop;
    PromiseBounds bounds;
    PromiseLedger promises;
    Testkit::StoreStandIn store;
    std::vector<std::unique_ptr<Testkit::FaultyServer>> servers;
    std::vector<std::unique_ptr<Testkit::LinkProxy>> links; ///< Between the nodes and each server.
    std::vector<int> incarnations; ///< How often each server was registered as a new one.
    std::vector<std::unique_ptr<SoakNode>> nodes;
    std::vector<std::unique_ptr<SoakCaller>> callers;
    std::vector<std::size_t> callerNodes; ///< Node of each caller.
    std::vector<PlannedFault> faults;
    std::size_t nextFault = 0;
    std::vector<Action> actions; ///< What ends the faults under way.
    std::map<std::string, int> counts;
    std::vector<bool> turnedAway;
    bool isStoreAway = false;
    bool isStoreSilent = false;
    bool isStoreDisturbed = false;
    bool sendsDeadly = false;
    int version = 0;
    EventLoop::TimePoint zero = EventLoop::now();
    std::optional<Time> quietSince; ///< When the last fault ended.
    bool isRecoveryReported = false;
    std::vector<Successes> successes;
    Timer timer;
};

} // namespace Primrosefork::Measure
