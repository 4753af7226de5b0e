#pragma once

#include "trafficconfiguration.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace Primrosefork {

/** What a node has seen of one workspace since its last look. */
struct WorkspaceDemand {
    double asked = 0; ///< Units that callers asked for.
    double granted = 0; ///< Units that were let through.
};

/** How strictly a quota is held to over time. */
struct QuotaTerms {
    std::chrono::milliseconds window { 8'000 };
    double excess = 0; ///< Part of the quota that may be exceeded in a window.
    double slack = 0; ///< Units beyond that, of all nodes in a window.
};

/**
 * Holds each workspace to this node's share of its quota, with a token bucket.
 *
 * The share follows the node's part of the demand, as the leader of the nodes
 * tells it; without word from the leader it falls back to an equal part, so
 * that nodes which do not hear each other stay below the quota together.
 */
class QuotaLimiter {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** Buckets fill from shortly before \a start on, so that a node that starts anew grants nothing twice. */
    QuotaLimiter(const QuotaTerms&, TimePoint start);

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
    auto refill(Bucket&, const WorkspaceQuota&, TimePoint now) -> double;

    QuotaTerms terms;
    TimePoint start;
    std::size_t nodeCount = 1;
    std::map<std::string, Bucket> buckets;
    std::map<std::string, WorkspaceDemand> demand;
};

} // namespace Primrosefork
