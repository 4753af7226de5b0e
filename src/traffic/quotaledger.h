#pragma once

#include "quotaterms.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace Primrosefork {

/** What was let through for one workspace in the last time, in units of its quota. */
struct RecentUse {
    static constexpr std::chrono::seconds shortSpan { 1 };
    static constexpr std::chrono::seconds middleSpan { 3 };

    double inShortSpan = 0;
    double inMiddleSpan = 0;
    double inWindow = 0; ///< Of the quota's terms.

    auto add(const RecentUse&) -> void;
};

/**
 * The account of each workspace's quota for all nodes, on the leader.
 *
 * One token bucket holds a workspace, however many nodes its requests come to,
 * so that a node grants a request that is larger than its own part would be.
 * The bucket has a part of the burst that the terms allow; nodes that do not
 * hear the leader share the rest.
 */
class QuotaLedger {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit QuotaLedger(const QuotaTerms&);

    /** Forgets all accounts. */
    auto clear() -> void { this->accounts.clear(); }

    [[nodiscard]] auto isOpen(const std::string& workspace) const -> bool { return this->accounts.contains(workspace); }

    /** Opens the account of \a workspace with nothing in it but what flows in, whatever was granted before. */
    auto open(const TrafficWorkspace& workspace, TimePoint now) -> void;

    /**
     * Fills the account of \a workspace, which is open, by what nodes let through up to
     * now. \a use is that by the word of \a knownPart of them; the others are taken to
     * have let through as much.
     */
    auto takeHistory(const TrafficWorkspace& workspace, const RecentUse& use, double knownPart, TimePoint now) -> void;

    /** Sets the part of the nodes that ask here; the others grant their parts by themselves. */
    auto setAskingPart(double part, TimePoint now) -> void;

    /** Takes off \a units that a node let through on its own. */
    auto debit(const std::string& workspace, double units) -> void;

    /**
     * Takes \a units from the account of \a workspace, which is open.
     *
     * Returns nothing when they were granted, else the time after which they would be.
     */
    auto request(const TrafficWorkspace& workspace, double units, TimePoint now) -> std::optional<std::chrono::milliseconds>;

private:
    struct Account {
        double level = 0;
        double perSecond = 0; ///< Of the quota when it was last filled.
        TimePoint filled;
    };

    auto fill(Account&, TimePoint now) const -> void;

    QuotaTerms terms;
    double askingPart = 1;
    std::map<std::string, Account> accounts;
};

} // namespace Primrosefork
