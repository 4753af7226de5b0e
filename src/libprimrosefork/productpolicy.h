#pragma once

#include "outstandingwork.h"
#include "prefixaffinity.h"
#include "routingpolicy.h"
#include "slowdowndetector.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace Primrosefork {

/**
 * Chooses the server where a request is expected to cost least: its wait behind
 * the work that is thought to be open there, the prompt tokens that have to be
 * computed again, the way to another zone, and how slow the server is.
 *
 * It looks at the servers that keep the prompt's prefix and at a few random
 * others, so that nodes with the same late view do not all choose alike. Long
 * work is limited to some of the servers and to a part of their slots.
 */
class ProductPolicy : public RoutingPolicy {
public:
    using RoutingPolicy::choose;

    explicit ProductPolicy(std::uint64_t seed);

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

    /** A server that is weighed for one request. */
    struct Option {
        const BackendServer* server = nullptr;
        std::int64_t cachedTokens = 0;
    };

    auto chooseForLong(const RoutingRequest&, const CandidateList&, TimePoint) -> const BackendServer*;
    auto addSample(std::span<const BackendServer* const> servers, std::size_t count, std::vector<Option>& options) -> void;
    auto cheapest(const RoutingRequest&, const CandidateList&, std::span<const Option>, TimePoint) -> const BackendServer*;
    [[nodiscard]] auto costOf(const RoutingRequest&, const CandidateList&, const Option&, TimePoint) -> Cost;
    [[nodiscard]] auto queueCost(const BackendServer&) const -> Cost;
    [[nodiscard]] auto hasLongWork(TimePoint) const -> bool;
    [[nodiscard]] auto hasShortWork(TimePoint) const -> bool;
    [[nodiscard]] auto hasLongPlace(const BackendServer&) const -> bool;
    auto randomCost() -> Cost;

    OutstandingWork work;
    SlowdownDetector slowdowns;
    PrefixAffinity prefixes;
    std::minstd_rand random;
    std::size_t nodeCount = 1;
    std::optional<TimePoint> lastLongWork;
    std::optional<TimePoint> lastShortWork;
};

} // namespace Primrosefork
