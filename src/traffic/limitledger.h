#pragma once

#include "serverlimits.h"

#include <functional>
#include <map>
#include <string>

namespace Primrosefork {

/**
 * The leader's accounts of the limits that servers name: it gives out permits of
 * one request each to the nodes that report, so that all nodes together keep a limit.
 *
 * An account gains the server's limit per second and starts empty. Each node gets
 * its share of what was gained since its last report, rounded up or down at random
 * so that small shares of many nodes add up.
 */
class LimitLedger {
public:
    using TimePoint = BootClock::time_point;

    /** Returns the fraction of the permits of a service that a node gets. */
    using ShareOf = std::function<double(const std::string& service)>;

    static constexpr double capacitySeconds = 0.25; ///< Time over which an account gains up to its capacity, besides capacityPermits.
    static constexpr double capacityPermits = 3;
    static constexpr std::chrono::milliseconds maxSpan { 1'000 }; ///< Longest time before its report for which a node gets permits.
    static constexpr std::size_t maxAccounts = 10'000;

    /** \a seed decides how shares are rounded. */
    explicit LimitLedger(std::uint64_t seed);

    /** Applies the \a statements in a report that arrived at \a now. */
    auto reported(std::span<const LimitStatement> statements, TimePoint now) -> void;

    /** Sets the registered servers; accounts of others get no permits and are discarded after a while. */
    auto setServers(const BackendServers& servers, TimePoint now) -> void;

    /** Returns the permits of a node with the shares \a shareOf for the time \a span since its last report. */
    auto grant(const ShareOf& shareOf, std::chrono::nanoseconds span, TimePoint now) -> std::vector<ServerPermits>;

    /** Returns all limits, and those that were withdrawn lately. */
    [[nodiscard]] auto statements(TimePoint now) const -> std::vector<LimitStatement>;

    /** Returns a digest of all limits, equal to that of a node that knows the same ones. */
    [[nodiscard]] auto digest() const -> std::uint64_t;

    /** Returns the number of servers with a limit. */
    [[nodiscard]] auto limitedServers() const -> std::size_t;

    /** Discards everything. */
    auto clear() -> void { this->accounts.clear(); }

private:
    struct Account {
        float perSecond = 0; ///< 0 when the server has withdrawn its limit.
        TimePoint statedAt;
        double permits = 0; ///< Permits that can be granted.
        TimePoint refilledAt;
        std::string service; ///< Empty while the server is not registered.
    };

    std::map<std::uint64_t, Account> accounts; ///< By key of the server.
    std::minstd_rand random;
};

} // namespace Primrosefork
