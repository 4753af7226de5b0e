#pragma once

#include "backendserver.h"
#include "trafficconfiguration.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Primrosefork {

/** What the nodes together bring to one service. */
struct ServiceDemand {
    double readTokensPerSecond = 0; ///< Prompt tokens that engines have to read.
    double engineTokensPerSecond = 0; ///< That one engine reads; 0 while it is not known.
    std::int64_t openRequests = 0;
};

/** The engines of one kind that a service is to have in a zone. */
struct FleetTarget {
    std::string zone;
    bool isReclaimable = false;
    std::int64_t count = 0;

    auto operator==(const FleetTarget&) const -> bool = default;
};

/**
 * Decides how many engines a service is to have, of which kind and where.
 *
 * Reclaimable engines carry the load, spread over all zones so that what is left
 * after the loss of one zone still does. On-demand engines fill in for what is
 * missing, in the cheapest zones first.
 */
class FleetPlanner {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit FleetPlanner(ScalingTerms);

    /** The platform had no reclaimable engine for \a zone. */
    auto reclaimableRefused(const std::string& zone, TimePoint now) -> void;

    /** Returns what the service is to have now, given its \a servers. */
    auto plan(const ServiceDemand&, std::int64_t slots, const std::vector<const BackendServer*>& servers, TimePoint now) -> std::vector<FleetTarget>;

private:
    /** The live engines of one zone. */
    struct ZoneCount {
        std::int64_t reclaimable = 0;
        std::int64_t onDemand = 0;
    };

    [[nodiscard]] auto neededEngines(const ServiceDemand&, std::int64_t slots, std::int64_t present) const -> std::int64_t;
    auto damped(std::int64_t needed, TimePoint now) -> std::int64_t;
    [[nodiscard]] auto zonesByPrice() const -> std::vector<std::string>;

    ScalingTerms terms;
    std::map<std::string, TimePoint> refusedUntil; ///< Zones without reclaimable engines, and until when none is asked for.
    std::int64_t held = 0; ///< Engines needed, held up for a while after each rise.
    TimePoint heldUntil;
    TimePoint shortUntil; ///< Until when reclaimable engines that were ordered may still be starting.
    bool hasPlanned = false;
};

} // namespace Primrosefork
