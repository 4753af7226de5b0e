#pragma once

#include "cluster.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Primrosefork {

/** What the nodes of a fleet have used up to one moment, the first node left out: it is the one observed. */
struct FleetSample {
    EventLoop::TimePoint time;
    std::chrono::milliseconds processorTime { 0 }; ///< Of all nodes but the first.
    std::chrono::milliseconds standinProcessorTime { 0 };
    double residentBytes = 0; ///< Of all nodes but the first.
    double sentBytes = 0;
    double receivedBytes = 0;
    double sentMessages = 0;
    double storeReads = 0;
    double storeWrites = 0;
    double storeWatches = 0;
};

/** What one node spends in a second, and the store's calls of the whole fleet. */
struct FleetRates {
    double processorShare = 0; ///< Of one core, in hundredths.
    double standinShare = 0; ///< Of the process of stand-ins.
    double megabytes = 0;
    double sentBytes = 0;
    double receivedBytes = 0;
    double sentMessages = 0;
    double storeReads = 0;
    double storeWrites = 0;
    double storeWatches = 0;
};

/** How a fleet is made up. */
struct FleetOptions {
    std::size_t nodes = 8;
    std::size_t engines = 3;
    std::size_t plainServices = 2;
};

/**
 * Node processes and their stand-ins, with what a measurement asks of them.
 */
class Fleet {
public:
    explicit Fleet(const FleetOptions&);

    /** Starts all and waits until each node knows every other one. */
    auto start() -> bool;

    [[nodiscard]] auto sample() -> FleetSample;

    /** Runs for \a duration and returns what was spent. */
    [[nodiscard]] auto measure(std::chrono::milliseconds duration) -> FleetRates;

    /** As measure(), with a change of the configuration every \a period. */
    [[nodiscard]] auto measureUnderChange(std::chrono::milliseconds duration, std::chrono::milliseconds period) -> FleetRates;

    /** Changes the configuration and returns the time until it is in force on all nodes, or a negative one. */
    auto changeEverywhere() -> std::chrono::milliseconds;

    /** Kills the last node that runs and returns the time until all others know, or a negative one. */
    auto killOne() -> std::chrono::milliseconds;

    [[nodiscard]] auto runningNodes() const -> std::size_t { return this->running; }

    [[nodiscard]] auto instanceListBytes() -> std::size_t;

private:
    struct Scraped {
        bool isValid = false;
        std::string text;
    };

    auto scrapeAll() -> std::vector<Scraped>;
    auto allShow(const std::string& metric, double least, double most) -> bool;
    auto change() -> std::uint64_t;
    [[nodiscard]] auto toRates(const FleetSample& before, const FleetSample& after) const -> FleetRates;
    auto sleep(std::chrono::milliseconds duration) -> void;

    Testkit::Cluster cluster;
    std::size_t running;
    int changes = 0;
};

} // namespace Primrosefork
