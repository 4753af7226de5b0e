#pragma once

#include "backendserver.h"
#include "routingpolicy.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace Primrosefork {

/**
 * The estimated open work at one backend server.
 */
struct ServerLoad {
    std::int64_t ownRequests = 0; ///< Open requests of this node.
    std::int64_t ownLongRequests = 0; ///< Open long requests of this node.
    std::int64_t otherRequests = 0; ///< Open requests of other nodes, according to the last report.
    std::int64_t ownPrefillTokens = 0; ///< Prompt tokens of this node's requests that are still without a first token.
    std::int64_t otherPrefillTokens = 0; ///< Prompt tokens of other nodes' requests still to be computed, according to the last report.
    std::int64_t decodeTokens = 0; ///< Tokens still expected in the answers to this node's requests.

    [[nodiscard]] auto requests() const -> std::int64_t { return this->ownRequests + this->otherRequests; }
};

/**
 * Tracks the work that this node has open at each backend server, in requests and
 * tokens, and estimates the work of other nodes from the servers' load reports.
 *
 * Reports arrive late. Each is compared with this node's work at the time that the
 * report describes, so that requests sent since then are counted only once.
 */
class OutstandingWork {
public:
    using TimePoint = RoutingPolicy::TimePoint;

    auto sent(const RoutingRequest&, const BackendServer&, TimePoint now) -> void;
    auto firstPieceReceived(std::uint64_t requestId, TimePoint now) -> void;

    /** Returns the time since the previous piece of the request, or zero when the request is not open. */
    auto pieceReceived(std::uint64_t requestId, std::int64_t tokens, TimePoint now) -> std::chrono::microseconds;

    /** Returns how long the request was open, or zero when it was not open. */
    auto ended(std::uint64_t requestId, TimePoint now) -> std::chrono::microseconds;

    auto reported(const LoadReports&, TimePoint now) -> void;

    [[nodiscard]] auto loadOf(const BackendServer&) const -> ServerLoad;

    /** Returns how many long requests of this node are open. */
    [[nodiscard]] auto openLongRequests() const -> std::int64_t { return this->longRequests; }

private:
    struct OpenRequest {
        std::string serverId;
        bool isLong = false;
        std::int64_t prefillTokens = 0;
        std::int64_t decodeTokens = 0;
        TimePoint sent;
        TimePoint lastPiece;
    };

    /** The work that this node had open at a server at one point in time. */
    struct Sample {
        TimePoint time;
        std::int64_t requests = 0;
        std::int64_t prefillTokens = 0;
    };

    struct ServerState {
        std::int64_t requests = 0;
        std::int64_t longRequests = 0;
        std::int64_t prefillTokens = 0;
        std::int64_t decodeTokens = 0;
        std::int64_t otherRequests = 0;
        std::int64_t otherPrefillTokens = 0;
        std::deque<Sample> samples;
    };

    auto applyReport(ServerState&, const LoadReport&, TimePoint now) -> void;
    auto removeIdle(const LoadReports&) -> void;

    std::unordered_map<std::uint64_t, OpenRequest> openRequests;
    std::unordered_map<std::string, ServerState> servers;
    std::int64_t longRequests = 0;
};

} // namespace Primrosefork
