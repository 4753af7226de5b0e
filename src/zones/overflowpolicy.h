#pragma once

#include "backendload.h"
#include "overflowshare.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Primrosefork {

/** Cost of a request that is served in another zone, as set by operators. */
struct ZoneCosts {
    std::chrono::nanoseconds roundTrip { 3'000'000 }; ///< Time of a round trip between two zones.
    double transferPerMegabyte = 0; ///< Milliseconds of callers' time that a megabyte between zones is worth.

    auto operator==(const ZoneCosts&) const -> bool = default;
};

/** Returns what it costs a request to leave its zone when it moves \a bytes between the zones, without what its prompt costs there. */
[[nodiscard]] auto transferCost(const ZoneCosts& costs, double bytes) -> std::chrono::duration<double>;

/** Returns the estimated bytes of a request and its answer with \a promptTokens and \a answerTokens. */
[[nodiscard]] auto estimatedBytes(double promptTokens, double answerTokens) -> double;

/** Mean values of the requests to one service, over all nodes; 0 stands for what is not known. */
struct ServiceRates {
    double engineTokensPerSecond = 0; ///< Prefill rate of one engine.
    std::chrono::duration<double> callTime { 0 }; ///< Time for which a request occupies a slot.
    double readTokens = 0; ///< Prompt tokens of a request that its engine has to prefill.
    double cachedTokens = 0; ///< Prompt tokens of a request that its engine has cached.
};

/** A change of a share, with the values that decided. */
struct OverflowStep {
    OverflowShare share; ///< The share after the change.
    std::uint8_t earlierEighths = 0;
    std::chrono::duration<double> waitHere { 0 }; ///< Wait of a request in its own zone.
    std::chrono::duration<double> waitThere { 0 }; ///< Wait of a request in the target zone.
    std::chrono::duration<double> cost { 0 }; ///< Cost of a request that leaves its zone.
    double utilizationHere = 0; ///< Expected utilization of the own zone's servers after the change; 0 when it is not known.
    double utilizationThere = 0; ///< Expected utilization of the target zone's servers after the change.
};

/**
 * Decides on the leader which part of a zone's requests goes to another zone.
 *
 * A share is raised by an eighth when a request gains more than twice its cost by
 * leaving and lowered when it gains less than its cost, at most once a second. As
 * queues show a step only after the next reports and after they have drained, the
 * utilization that the demand will cause is taken into account as well.
 */
class OverflowPolicy {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit OverflowPolicy(ZoneCosts);

    /** Returns the changes to the shares of one service whose \a rooms in all zones are known, at most one for each zone. */
    auto update(const std::vector<ZoneRoom>& rooms, const ServiceRates&, TimePoint now) -> std::vector<OverflowStep>;

    /** Takes over \a share, which a node has in force from an earlier leader, unless a larger one is known. */
    auto adopt(const OverflowShare& share, TimePoint now) -> void;

    /** Discards all shares, when another node has led meanwhile. */
    auto clear() -> void { this->flows.clear(); }

    /** Discards the shares of services that are not listed in \a services. */
    auto retain(const std::vector<std::string>& services) -> void;

    /** Returns the shares that are not zero. */
    [[nodiscard]] auto shares() const -> std::vector<OverflowShare>;

private:
    struct Flow {
        std::string toZone;
        std::uint8_t eighths = 0;
        TimePoint steppedAt; ///< Time of the last change.
        std::uint8_t previous = 0; ///< Share before the last change.
    };

    /** Wait and capacity of the servers of a zone. */
    struct Zone {
        const ZoneRoom* room = nullptr;
        std::chrono::duration<double> wait { 0 };
        double capacity = 0; ///< Requests per second that the servers serve; 0 when it is not known.
        double demand = 0; ///< Requests per second that are sent to the servers under the present shares.

        /** Returns the utilization with \a more requests per second; 0 when it is not known. */
        [[nodiscard]] auto utilization(double more = 0) const -> double { return this->capacity > 0 ? (this->demand + more) / this->capacity : 0; }
    };

    using Zones = std::map<std::string, Zone>;

    [[nodiscard]] auto zonesOf(const std::vector<ZoneRoom>&, const ServiceRates&) const -> Zones;
    [[nodiscard]] auto costOf(const ServiceRates&) const -> std::chrono::duration<double>;
    [[nodiscard]] auto targetFor(const Zone&, const Zones&) const -> const Zone*;
    auto stepFlow(Flow&, const Zone& here, const Zone& there, std::chrono::duration<double> cost, TimePoint now) -> int;

    ZoneCosts costs;
    std::map<std::pair<std::string, std::string>, Flow> flows; ///< Present shares, by service and zone.
};

} // namespace Primrosefork
