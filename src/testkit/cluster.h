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

/** What a cluster of nodes and stand-ins consists of. */
struct ClusterOptions {
    std::size_t nodes = 1;
    std::size_t engines = 3;
    std::size_t plainServices = 2;
    std::size_t zones = 3; ///< Nodes and backend servers are spread over zones "a", "b", "c" and so on.
    bool hasProcessPerZone = false; ///< Runs the engines of each zone in a stand-in process of their own.
    bool hasPeers = false; ///< Whether the nodes know each other; the first three are seeds.
    nlohmann::json engine = nlohmann::json::object(); ///< Put over the description of each stand-in engine.
    nlohmann::json plainService = nlohmann::json::object(); ///< Put over the description of each plain service.
    nlohmann::json world = nlohmann::json::object(); ///< Put over the world file.
    nlohmann::json settings = nlohmann::json::object(); ///< Merged into each node's settings.
};

/**
 * Node processes and one process of stand-ins on loopback addresses of their
 * own, with the workspace "jadeleaf" and its service "desk" in force.
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

    /** Starts everything; returns false when not all nodes were ready in time. */
    auto start() -> bool;

    auto startStandins() -> bool;
    auto startNode(std::size_t index) -> void;
    auto waitUntilReady(std::size_t index, std::chrono::milliseconds limit) -> bool;

    [[nodiscard]] auto node(std::size_t index) -> Process& { return *this->nodes.at(index); }
    [[nodiscard]] auto standins() -> Process& { return *this->standinProcess; }
    /** Returns the process of the engines in the zone of engine \a index; only with hasProcessPerZone. */
    [[nodiscard]] auto engines(std::size_t index) -> Process& { return *this->engineProcesses.at(index % this->options.zones); }
    [[nodiscard]] auto callers(std::size_t index) const -> Address;
    [[nodiscard]] auto operators(std::size_t index) const -> Address;
    [[nodiscard]] auto peers(std::size_t index) const -> Address;
    [[nodiscard]] auto keyValueService() const -> Address;
    [[nodiscard]] auto instanceList() const -> Address;
    [[nodiscard]] auto cloudApi() const -> Address;
    [[nodiscard]] auto engine(std::size_t index) const -> Address;
    [[nodiscard]] auto plainService(std::size_t index) const -> Address;
    [[nodiscard]] auto plainServiceCount() const -> std::size_t { return this->options.plainServices; }
    [[nodiscard]] static auto nodeId(std::size_t index) -> std::string;
    [[nodiscard]] static auto engineId(std::size_t index) -> std::string;
    [[nodiscard]] static auto plainServiceId(std::size_t index) -> std::string;
    [[nodiscard]] static auto cliProgram() -> std::string;

    /** Sends \a body to the control call of the stand-in at \a address and returns its answer. */
    auto control(const Address& address, const nlohmann::json& body) -> nlohmann::json;

    /** Puts \a record at \a key of the store, which must not exist. */
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
    std::string network; ///< First three numbers of all addresses.
    BlockingClient blockingClient;
    std::unique_ptr<Process> standinProcess;
    std::vector<std::unique_ptr<Process>> engineProcesses; ///< By zone.
    std::vector<std::unique_ptr<Process>> nodes;
};

} // namespace Primrosefork::Testkit
