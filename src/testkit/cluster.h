#pragma once

#include "address.h"
#include "blockingclient.h"
#include "process.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Primrosefork::Testkit {

/** The size and the settings of a cluster of nodes and stand-ins. */
struct ClusterOptions {
    std::size_t nodes = 1; ///< Number of nodes.
    std::size_t engines = 3; ///< Number of stand-in engines.
    std::size_t plainServices = 2; ///< Number of plain services.
    std::size_t zones = 3; ///< Number of zones "a", "b", "c" and so on, to which nodes and backend servers are assigned in turn.
    bool hasProcessPerZone = false; ///< Runs the engines of each zone in a stand-in process of their own.
    bool hasPeers = false; ///< Connects the nodes as peers; the first three are seeds.
    nlohmann::json engine = nlohmann::json::object(); ///< Overrides members in the description of each stand-in engine.
    nlohmann::json plainService = nlohmann::json::object(); ///< Overrides members in the description of each plain service.
    nlohmann::json world = nlohmann::json::object(); ///< Overrides members of the world file.
    nlohmann::json settings = nlohmann::json::object(); ///< JSON merge patch of each node's settings.
};

/**
 * Node processes and stand-in processes on loopback addresses that no other test
 * process uses, with the workspace "jadeleaf" and its service "desk" configured.
 *
 * The service is made from the template "assistant" with the routes "chat"
 * (model), "draft" (model, long), "bookings/confirm" (plain, not idempotent) and
 * "bookings/read" (plain, idempotent). Callers use callerKey, operators use
 * operatorKey.
 */
class Cluster {
public:
    static constexpr auto callerKey = "caller-key";
    static constexpr auto operatorKey = "operator-key";

    explicit Cluster(const ClusterOptions&);
    ~Cluster();
    Cluster(const Cluster&) = delete;
    auto operator=(const Cluster&) -> Cluster& = delete;

    /** Starts all processes and stores the configuration; returns false when this fails or a process is not ready in time. */
    auto start() -> bool;

    /** Starts the stand-ins; returns false when they do not answer in time. */
    auto startStandins() -> bool;
    /** Starts node \a index; call it again only after the process of the node has exited. */
    auto startNode(std::size_t index) -> void;

    /** Waits until node \a index serves and has all backend servers and the service; returns false after \a limit. */
    auto waitUntilReady(std::size_t index, std::chrono::milliseconds limit) -> bool;

    [[nodiscard]] auto node(std::size_t index) -> Process& { return *this->nodes.at(index); }
    [[nodiscard]] auto standins() -> Process& { return *this->standinProcess; }

    /** Returns the process of the engines in the zone of engine \a index; requires hasProcessPerZone. */
    [[nodiscard]] auto engineProcess(std::size_t index) -> Process& { return *this->engineProcesses.at(index % this->options.zones); }

    /** Returns the address on which node \a index accepts callers. */
    [[nodiscard]] auto callersAddress(std::size_t index) const -> Address;

    /** Returns the address on which node \a index accepts operators. */
    [[nodiscard]] auto operatorsAddress(std::size_t index) const -> Address;

    /** Returns the address on which node \a index accepts peers. */
    [[nodiscard]] auto peersAddress(std::size_t index) const -> Address;

    [[nodiscard]] auto keyValueService() const -> Address;
    [[nodiscard]] auto instanceList() const -> Address;
    [[nodiscard]] auto cloudApi() const -> Address;
    [[nodiscard]] auto engineAddress(std::size_t index) const -> Address;
    [[nodiscard]] auto plainServiceAddress(std::size_t index) const -> Address;
    [[nodiscard]] auto plainServiceCount() const -> std::size_t { return this->options.plainServices; }
    [[nodiscard]] static auto nodeId(std::size_t index) -> std::string;
    [[nodiscard]] static auto engineId(std::size_t index) -> std::string;
    [[nodiscard]] static auto plainServiceId(std::size_t index) -> std::string;
    [[nodiscard]] static auto cliProgram() -> std::string;

    /** Sends \a body to POST /control of the stand-in at \a address and returns its answer. */
    auto control(const Address& address, const nlohmann::json& body) -> nlohmann::json;

    /** Creates \a record at \a key of the store; returns false when the key exists. */
    auto putRecord(const std::string& key, const nlohmann::json& record) -> bool;

    [[nodiscard]] auto client() -> BlockingClient& { return this->blockingClient; }

private:
    auto writeWorld() -> void;
    [[nodiscard]] auto describeEngine(std::size_t index) const -> nlohmann::json;
    auto startEngines() -> bool;
    auto writeSettings(std::size_t index) -> void;
    [[nodiscard]] auto peerSettings() const -> nlohmann::json;
    auto putConfiguration() -> bool;
    [[nodiscard]] auto zone(std::size_t index) const -> std::string;
    [[nodiscard]] auto path(const std::string& name) const -> std::string;

    ClusterOptions options;
    std::string folder;
    std::string network; ///< First three bytes of all addresses in text form, such as "127.10.1.".
    BlockingClient blockingClient;
    std::unique_ptr<Process> standinProcess;
    std::vector<std::unique_ptr<Process>> engineProcesses; ///< One for each zone; empty without hasProcessPerZone.
    std::vector<std::unique_ptr<Process>> nodes;
};

} // namespace Primrosefork::Testkit
