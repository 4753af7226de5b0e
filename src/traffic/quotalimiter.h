#pragma once

#include "quotaledger.h"
#include "quotatolerance.h"
#include "trafficconfiguration.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace Primrosefork {

/** Demand of one workspace on a node since the last call of takeDemand(). */
struct WorkspaceDemand {
    double requested = 0; ///< Units that callers requested.
    double granted = 0; ///< Units granted from the node's own share.
};

/**
 * Limits each workspace to this node's share of its quota, with a token bucket,
 * while the leader's account of it cannot be reached.
 *
 * The leader sets the share by the node's part of the demand. Without a valid
 * share from the leader, the node uses an equal share, so that nodes that cannot
 * reach each other stay below the quota together. A request that is larger than
 * the full bucket is granted with a probability of the capacity divided by the
 * request, so that many small buckets grant no more than one large one would.
 */
class QuotaLimiter {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /**
     * Creates a limiter whose buckets are empty shortly before \a start, when the node starts, so
     * that a restarted node does not grant units twice. \a seed decides the random grants.
     */
    QuotaLimiter(const QuotaTolerance&, TimePoint start, std::uint64_t seed = 1);

    /** Sets the number of nodes among which a quota is divided equally. */
    auto setNodeCount(std::size_t nodes) -> void;

    /** Sets the fraction of the quota of \a workspace that this node may grant until \a validUntil. */
    auto setShare(const std::string& workspace, double share, TimePoint validUntil) -> void;

    /**
     * Requests \a units from this node's share of the quota of \a workspace.
     *
     * Returns nothing if they were granted, else the time after which they
     * would be.
     */
    auto request(const TrafficWorkspace& workspace, double units, TimePoint now) -> std::optional<std::chrono::milliseconds>;

    /** Adds \a units that callers requested to the demand of \a workspace; request() does so itself. */
    auto recordRequested(const std::string& workspace, double units) -> void { this->demand[workspace].requested += units; }

    /** Adds \a units that the leader's account granted to the recent use of \a workspace. */
    auto recordGranted(const std::string& workspace, double units, TimePoint now) -> void;

    /** Returns the units granted recently to requests of \a workspace on this node, by the leader's account or from the node's own share. */
    [[nodiscard]] auto recentUse(const std::string& workspace, TimePoint now) -> RecentUse;

    /** Returns the units that this node granted from its own share since it started, by workspace. */
    [[nodiscard]] auto ownGrants() const -> const std::map<std::string, double>& { return this->granted; }

    /** Returns the demand since the last call, by workspace, and resets it. */
    auto takeDemand() -> std::map<std::string, WorkspaceDemand>;

private:
    struct Bucket {
        double level = 0;
        double capacity = 0;
        double share = 0; ///< Fraction of the quota that the leader set for this node.
        TimePoint shareUntil; ///< Time until which that fraction is valid.
        TimePoint lastRefill;
    };

    [[nodiscard]] auto shareOf(const Bucket&, TimePoint now) const -> double;
    auto bucketOf(const std::string& workspace) -> Bucket&;
    auto tryConsume(Bucket&, double units) -> bool;

    /** Refills the bucket up to \a now and returns its rate in units per second. */
    auto refill(Bucket&, const WorkspaceQuota&, TimePoint now) -> double;

    /** Units granted at one point in time. */
    struct Grant {
        TimePoint at;
        double units = 0;
    };

    QuotaTolerance tolerance;
    TimePoint start; ///< Time from which new buckets fill.
    std::minstd_rand random;
    std::size_t nodeCount = 1;
    std::map<std::string, Bucket> buckets;
    std::map<std::string, WorkspaceDemand> demand;
    std::map<std::string, std::deque<Grant>> recentGrants; ///< Grants within the last window, oldest first, by workspace.
    std::map<std::string, double> granted; ///< Units granted from the node's own share, by workspace.
};

} // namespace Primrosefork
