#pragma once

#include "quotatolerance.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace Primrosefork {

/** Units of a workspace's quota that were granted recently, summed over spans of different length. */
struct RecentUse {
    static constexpr std::chrono::seconds shortSpan { 1 };
    static constexpr std::chrono::seconds middleSpan { 3 };

    double inShortSpan = 0; ///< Units granted within shortSpan.
    double inMiddleSpan = 0; ///< Units granted within middleSpan.
    double inWindow = 0; ///< Units granted within the window of the quota's tolerance.

    auto add(const RecentUse&) -> void;
};

/**
 * The accounts of the workspaces' quotas for all nodes, kept by the leader.
 *
 * Each workspace has one token bucket, however many nodes receive its requests,
 * so that a request can be granted that is larger than the share of the node
 * that received it. The bucket's capacity is a part of the allowed burst; nodes
 * that cannot reach the leader share the rest.
 */
class QuotaLedger {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit QuotaLedger(const QuotaTolerance&);

    /** Removes all accounts. */
    auto clear() -> void { this->accounts.clear(); }

    [[nodiscard]] auto isAnyOpen() const -> bool { return !this->accounts.empty(); }

    [[nodiscard]] auto isOpen(const std::string& workspace) const -> bool { return this->accounts.contains(workspace); }

    /** Opens the account of \a workspace with an empty bucket, as if all of the burst had been granted just before. */
    auto open(const TrafficWorkspace& workspace, TimePoint now) -> void;

    /**
     * Raises the level of the open account of \a workspace to what the units that nodes
     * granted up to \a now leave of it. \a use is the sum reported by the fraction
     * \a reportedFraction of the nodes; the others are assumed to have granted as much each.
     */
    auto applyRecentUse(const TrafficWorkspace& workspace, const RecentUse& use, double reportedFraction, TimePoint now) -> void;

    /**
     * Sets the fraction of the nodes that request units here. The accounts are refilled at that
     * fraction of the quotas, since the other nodes grant their shares on their own.
     */
    auto setServedFraction(double fraction, TimePoint now) -> void;

    /** Subtracts \a units that a node granted on its own from the account of \a workspace. */
    auto debit(const std::string& workspace, double units) -> void;

    /**
     * Requests \a units from the open account of \a workspace.
     *
     * Returns nothing if they were granted, else the time after which they would be.
     */
    auto request(const TrafficWorkspace& workspace, double units, TimePoint now) -> std::optional<std::chrono::milliseconds>;

private:
    struct Account {
        double level = 0; ///< Units in the bucket; negative after a request larger than the bucket or after debits.
        double perSecond = 0; ///< Rate of the quota in units, as of the last request.
        TimePoint lastRefill;
    };

    auto refill(Account&, TimePoint now) const -> void;

    QuotaTolerance tolerance;
    double servedFraction = 1; ///< Fraction of the nodes that request units here.
    std::map<std::string, Account> accounts;
};

} // namespace Primrosefork
