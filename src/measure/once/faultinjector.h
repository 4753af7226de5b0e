#pragma once

#include "cluster.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Primrosefork::Measure {

/** Fault that can be injected during a batch of calls. */
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
 * Injects pseudo-random faults into a cluster and clears them again.
 */
class FaultInjector {
public:
    FaultInjector(Testkit::Cluster&, std::size_t nodes, std::uint32_t seed);

    /** Returns the next pseudo-random number below \a limit. */
    auto random(std::size_t limit) -> std::size_t;

    /** Returns up to two faults for the next batch, in the order in which to inject them. */
    auto chooseFaults() -> std::vector<Fault>;

    auto inject(Fault) -> void;

    /** Resumes the paused nodes. */
    auto resumeNodes() -> void;

    /** Clears all faults and restarts killed nodes. Returns false when a node did not become ready in time. */
    auto clearFaults() -> bool;

    /** Returns how often each fault was injected, by its name. */
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
