#pragma once

#include "outstandingwork.h"
#include "prefixaffinity.h"
#include "routingpolicy.h"
#include "slowdowndetector.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <vector>

namespace Primrosefork {

/**
 * Chooses the server with the lowest expected cost for a request. The cost depends
 * on the work that is estimated to be open at the server, the prompt tokens that
 * have to be computed again, the latency to another zone, and how slow the server is.
 *
 * The policy compares the servers that cache the prompt's prefix with a few random
 * others, so that nodes with the same outdated view do not all choose the same
 * server. Long work is limited to some of the servers and to a part of their slots.
 */
class LeastCostPolicy : public RoutingPolicy {
public:
    using RoutingPolicy::choose;

    explicit LeastCostPolicy(std::uint64_t seed);

    auto setNodeCount(std::size_t count) -> void override;
    [[nodiscard]] auto enginePriority(const RoutingRequest&) const -> std::int64_t override;
    auto choose(const RoutingRequest&, std::span<const BackendServer* const> candidates, TimePoint) -> const BackendServer* override;
    auto choose(const RoutingRequest&, const CandidateList&, TimePoint) -> const BackendServer* override;
    auto loadReported(const LoadReports&, TimePoint) -> void override;
    auto requestSent(const RoutingRequest&, const BackendServer&, TimePoint) -> void override;
    auto firstPieceReceived(const RoutingRequest&, const BackendServer&, TimePoint) -> void override;
    auto pieceReceived(const RoutingRequest&, const BackendServer&, std::int64_t tokens, TimePoint) -> void override;
    auto requestEnded(const RoutingRequest&, const BackendServer&, AttemptEnd, TimePoint) -> void override;

private:
    using Cost = std::chrono::duration<double, std::milli>;

    /** A server that is considered for one request. */
    struct Option {
        const BackendServer* server = nullptr;
        std::int64_t cachedTokens = 0; ///< Prompt tokens that the server is expected to have cached.
    };

    auto chooseForLong(const RoutingRequest&, const CandidateList&, TimePoint) -> const BackendServer*;
    auto addSample(std::span<const BackendServer* const> servers, std::size_t count, std::vector<Option>& options) -> void;
    auto cheapest(const RoutingRequest&, const CandidateList&, std::span<const Option>, TimePoint) -> const BackendServer*;
    [[nodiscard]] auto costOf(const RoutingRequest&, const CandidateList&, const Option&, TimePoint) -> Cost;
    [[nodiscard]] auto queueCost(const BackendServer&) const -> Cost;
    [[nodiscard]] auto hasRecentLongWork(BackendKind, TimePoint) const -> bool;
    [[nodiscard]] auto hasRecentShortWork(BackendKind, TimePoint) const -> bool;
    [[nodiscard]] auto hasLongWorkCapacity(const BackendServer&) const -> bool;
    auto randomCost() -> Cost;

    OutstandingWork work;
    SlowdownDetector slowdowns;
    PrefixAffinity prefixes;
    std::minstd_rand random;
    std::size_t nodeCount = 1;
    std::map<BackendKind, TimePoint> lastLongWork; ///< Time of the last long request by the kind of its servers.
    std::map<BackendKind, TimePoint> lastShortWork; ///< Time of the last short request by the kind of its servers.
};

} // namespace Primrosefork
