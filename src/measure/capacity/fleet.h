#pragma once

#include "cluster.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Primrosefork {

/** Total resource usage of a fleet since its start. The node counters leave out the first node, which is the one observed. */
struct FleetSample {
    EventLoop::TimePoint time; ///< Time at which the sample was taken.
    std::chrono::milliseconds processorTime { 0 }; ///< Processor time of all nodes but the first.
    std::chrono::milliseconds standinProcessorTime { 0 }; ///< Processor time of the stand-ins' process.
    double residentBytes = 0; ///< Resident memory of all nodes but the first.
    double sentBytes = 0; ///< Bytes sent to peers by all nodes but the first.
    double receivedBytes = 0; ///< Bytes received from peers by all nodes but the first.
    double sentMessages = 0; ///< Messages sent to peers by all nodes but the first.
    double storeReads = 0; ///< Reads of the whole fleet that the store counted.
    double storeWrites = 0; ///< Writes of the whole fleet that the store counted.
    double storeWatches = 0; ///< Watches of the whole fleet that the store counted.
};

/** Average resource usage of one node, and the calls of the whole fleet to the store. */
struct FleetRates {
    double processorPercent = 0; ///< Processor usage of one node, in percent of one core.
    double standinPercent = 0; ///< Processor usage of the stand-ins' process, in percent of one core.
    double residentMebibytes = 0; ///< Resident memory of one node, in MiB.
    double sentBytes = 0; ///< Bytes per second that one node sends to peers.
    double receivedBytes = 0; ///< Bytes per second that one node receives from peers.
    double sentMessages = 0; ///< Messages per second that one node sends to peers.
    double storeReads = 0; ///< Reads per second of the whole fleet.
    double storeWrites = 0; ///< Writes per second of the whole fleet.
    double storeWatches = 0; ///< Watches per second of the whole fleet.
};

/** Size of a fleet. */
struct FleetOptions {
    std::size_t nodes = 8;
    std::size_t engines = 3;
    std::size_t plainServices = 2;
};

/**
 * Runs node processes with their stand-ins and measures their resource usage and reaction times.
 */
class Fleet {
public:
    explicit Fleet(const FleetOptions&);

    /** Starts all processes and waits until each node knows all its peers. Returns false when that takes too long. */
    auto start() -> bool;

    /** Returns the current counters of the nodes and the store. */
    [[nodiscard]] auto sample() -> FleetSample;

    /** Returns the resource usage of the fleet, measured over \a duration. */
    [[nodiscard]] auto measure(std::chrono::milliseconds duration) -> FleetRates;

    /** Returns the same as measure(), with a change of the configuration every \a period. */
    [[nodiscard]] auto measureUnderChange(std::chrono::milliseconds duration, std::chrono::milliseconds period) -> FleetRates;

    /** Changes the configuration. Returns the time until the change is in force on all nodes, or a negative time when that takes too long. */
    auto timeChange() -> std::chrono::milliseconds;

    /** Kills the last running node. Returns the time until all others have detected its death, or a negative time when that takes too long. */
    auto timeNodeDeath() -> std::chrono::milliseconds;

    [[nodiscard]] auto runningNodes() const -> std::size_t { return this->running; }

    /** Returns the size of the instance list as the platform sends it, in bytes. */
    [[nodiscard]] auto instanceListBytes() -> std::size_t;

private:
    struct ScrapeResult {
        bool isValid = false;
        std::string text;
    };

    auto scrapeAll() -> std::vector<ScrapeResult>;
    auto allNodesReport(const std::string& metric, double least, double most) -> bool;
    auto changeConfiguration() -> std::uint64_t;
    [[nodiscard]] auto toRates(const FleetSample& before, const FleetSample& after) const -> FleetRates;
    auto sleep(std::chrono::milliseconds duration) -> void;

    Testkit::Cluster cluster;
    std::size_t running;
    int changes = 0;
};

} // namespace Primrosefork
