#pragma once

#include "quotaledger.h"
#include "quotaterms.h"
#include "trafficconfiguration.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace Primrosefork {

/** What a node has seen of one workspace since its last look. */
struct WorkspaceDemand {
    double asked = 0; ///< Units that callers asked for.
    double granted = 0; ///< Units that were let through.
};

/**
 * Holds each workspace to this node's share of its quota, with a token bucket,
 * while the leader's account of it can't be asked.
 *
 * The share follows the node's part of the demand, as the leader of the nodes
 * tells it; without word from the leader it falls back to an equal part, so
 * that nodes which do not hear each other stay below the quota together. A
 * request that is larger than the full bucket is let through by chance, in the
 * proportion of the two, so that many small buckets grant no more than one
 * large one would.
 */
class QuotaLimiter {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** Buckets fill from shortly before \a start on, so that a node that starts anew grants nothing twice. */
    QuotaLimiter(const QuotaTerms&, TimePoint start, std::uint64_t seed = 1);

    /** Sets what the equal part is counted by. */
    auto setNodeCount(std::size_t nodes) -> void;

    /** Sets the part of the quota of \a workspace that this node may grant until \a validUntil. */
    auto setShare(const std::string& workspace, double share, TimePoint validUntil) -> void;

    /**
     * Takes \a units from the share of \a workspace.
     *
     * Returns nothing when they were granted, else the time after which they
     * would be.
     */
    auto request(const TrafficWorkspace& workspace, double units, TimePoint now) -> std::optional<std::chrono::milliseconds>;

    /** Counts \a units of \a workspace that callers asked for. */
    auto noteAsked(const std::string& workspace, double units) -> void { this->demand[workspace].asked += units; }

    /** Counts \a units of \a workspace that the leader's account granted. */
    auto noteGranted(const std::string& workspace, double units, TimePoint now) -> void;

    /** Returns what this node let through lately, by whoever's grant. */
    [[nodiscard]] auto recentUse(const std::string& workspace, TimePoint now) -> RecentUse;

    /** Returns the units that this node granted of its own share since it started. */
    [[nodiscard]] auto ownGrants() const -> const std::map<std::string, double>& { return this->granted; }

    /** Returns what was asked and granted since the last call, by workspace. */
    auto takeDemand() -> std::map<std::string, WorkspaceDemand>;

private:
    struct Bucket {
        double level = 0;
        double capacity = 0;
        double share = 0;
        TimePoint shareUntil;
        TimePoint filled;
    };

    [[nodiscard]] auto shareOf(const Bucket&, TimePoint now) const -> double;
    auto bucketOf(const std::string& workspace) -> Bucket&;
    auto take(Bucket&, double units) -> bool;
    auto refill(Bucket&, const WorkspaceQuota&, TimePoint now) -> double;

    /** Units that were let through at one moment. */
    struct Use {
        TimePoint at;
        double units = 0;
    };

    QuotaTerms terms;
    TimePoint start;
    std::minstd_rand random;
    std::size_t nodeCount = 1;
    std::map<std::string, Bucket> buckets;
    std::map<std::string, WorkspaceDemand> demand;
    std::map<std::string, std::deque<Use>> uses; ///< Of the last window.
    std::map<std::string, double> granted;
};

} // namespace Primrosefork
