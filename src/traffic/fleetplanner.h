#pragma once

#include "backendserver.h"
#include "trafficconfiguration.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Primrosefork {

/** Load that all nodes together put on one service. */
struct ServiceDemand {
    double prefillTokensPerSecond = 0; ///< Prompt tokens that the engines have to prefill per second.
    double engineTokensPerSecond = 0; ///< Prefill rate of one engine; 0 while it is not known.
    std::int64_t openRequests = 0; ///< Requests that run on an engine or wait for one.
    double requestsPerSecond = 0; ///< Requests that callers send per second.
    std::vector<double> engineLimits {}; ///< Requests per second that engines take which name a limit, one entry for each.
};

/** Number of engines of one kind that a service should have in a zone. */
struct FleetTarget {
    std::string zone;
    bool isReclaimable = false;
    std::int64_t count = 0;

    auto operator==(const FleetTarget&) const -> bool = default;
};

/**
 * Decides how many engines a service should have, of which kind and in which zones.
 *
 * Reclaimable engines carry the load and are spread over all zones. On-demand
 * engines, in the cheapest zones first, provide the capacity that is missing now
 * or would be missing if all reclaimable engines of one more zone were reclaimed.
 */
class FleetPlanner {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit FleetPlanner(ScalingSettings);

    /** The platform accepted the order that \a zone should have \a count reclaimable engines; missing ones boot from \a now on. */
    auto reclaimableAccepted(const std::string& zone, std::int64_t count, TimePoint now) -> void;

    /** The platform refused the order for \a zone because it had no reclaimable engines available there. */
    auto reclaimableRefused(const std::string& zone, TimePoint now) -> void;

    /** Returns the number of engines that the service needs according to the last plan; 0 before the first plan. */
    [[nodiscard]] auto lastNeededEngines() const -> std::int64_t { return this->stableNeed; }

    /** Sets the number of engines that the previous leader found to be \a needed; it is kept until the prefill rate is known. */
    auto restoreNeeded(std::int64_t needed, TimePoint now) -> void;

    /** Sets by zone how many requests of the service exceed the slots there, as a part of these; among zones with the same price on-demand engines are added where it is largest. */
    auto setShortages(std::map<std::string, double> shortages) -> void { this->zoneShortages = std::move(shortages); }

    /** Returns the engines that the service should have, given its present \a servers, each of which runs \a slots requests at once. */
    auto plan(const ServiceDemand&, std::int64_t slots, const std::vector<const BackendServer*>& servers, TimePoint now) -> std::vector<FleetTarget>;

private:
    /** The engines of one zone and what was ordered there. */
    struct Zone {
        std::int64_t reclaimable = 0; ///< Live reclaimable engines.
        std::int64_t onDemand = 0; ///< Live on-demand engines.
        std::int64_t reclaimableOrdered = 0; ///< Reclaimable engines in the last accepted order.
        TimePoint startingUntil; ///< Time until which ordered engines that are not live count as starting.
        TimePoint refusedUntil; ///< Time until which no reclaimable engines are ordered after a refusal.
        std::int64_t onDemandTarget = -1; ///< On-demand engines in the last plan; -1 before the first plan.

        /** Returns the number of reclaimable engines that are live or starting. */
        [[nodiscard]] auto expected(TimePoint now) const -> std::int64_t { return now<this->startingUntil&& this->reclaimableOrdered> this->reclaimable ? this->reclaimableOrdered : this->reclaimable; }
    };

    [[nodiscard]] auto neededEngines(const ServiceDemand&, std::int64_t slots, std::int64_t present) const -> std::int64_t;

    /** Returns \a needed, or the last higher number until the need has been lower for a while. */
    auto stabilized(std::int64_t needed, TimePoint now) -> std::int64_t;

    auto countEngines(const std::vector<const BackendServer*>& servers) -> void;
    auto updateOnDemand(std::int64_t needed, TimePoint now) -> void;

    /** Changes the on-demand targets as little as possible, so that their total lies between \a minimum and \a maximum within the limits of each zone. */
    auto placeOnDemand(std::int64_t minimum, std::int64_t maximum, TimePoint now) -> void;

    /** Returns the zones in the order in which on-demand engines are added. */
    [[nodiscard]] auto zonesByPrice() const -> std::vector<std::string>;

    ScalingSettings settings;
    std::map<std::string, Zone> zones;
    std::map<std::string, double> zoneShortages; ///< Empty while they are not known.
    std::int64_t stableNeed = 0; ///< Number of needed engines; a lower need takes effect only after a delay.
    TimePoint stableUntil; ///< Time until which that number is not lowered.
};

} // namespace Primrosefork
