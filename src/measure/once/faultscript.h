#pragma once

#include "cluster.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Primrosefork::Measure {

/** What may go wrong during a batch of calls. */
enum class Fault {
    StoreDown,
    StoreSlow,
    StoreSilent,
    StoreRepliesLost,
    StoreRepliesLate,
    ServiceAnswersLost,
    ServiceSilent,
    ServiceAnswersSwallowed,
    ServicesLeaving,
    NodePaused,
    NodeKilled,
};

/**
 * Brings faults about in a cluster, chosen from a seed, and ends them again.
 */
class FaultScript {
public:
    FaultScript(Testkit::Cluster&, std::size_t nodes, std::uint32_t seed);

    /** Returns a number below \a limit from the seed. */
    auto random(std::size_t limit) -> std::size_t;

    /** Returns up to two faults for the next batch, in the order of their coming. */
    auto choose() -> std::vector<Fault>;

    auto begin(Fault) -> void;

    /** Lets the paused nodes run again. */
    auto wake() -> void;

    /** Ends all faults; returns false when a node did not come back. */
    auto heal() -> bool;

    /** Returns how often each fault was brought about. */
    [[nodiscard]] auto counts() const -> const std::map<std::string, int>& { return this->faultCounts; }

private:
    auto controlStore(const nlohmann::json& body) -> void;
    auto controlServices(const nlohmann::json& body) -> void;
    auto setServicesState(const char* state) -> void;

    Testkit::Cluster& cluster;
    std::size_t nodes;
    std::mt19937 generator;
    std::vector<std::size_t> paused;
    std::vector<std::size_t> killed;
    std::map<std::string, int> faultCounts;
};

} // namespace Primrosefork::Measure
