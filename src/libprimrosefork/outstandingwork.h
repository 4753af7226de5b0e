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
 * What is thought to be open at one backend server.
 */
struct ServerLoad {
    std::int64_t ownRequests = 0; ///< Of this node.
    std::int64_t ownLongRequests = 0;
    std::int64_t otherRequests = 0; ///< Of other nodes, by the last report.
    std::int64_t ownPrefillTokens = 0; ///< Of this node's prompts before their first token.
    std::int64_t otherPrefillTokens = 0; ///< Of other nodes, by the last report.
    std::int64_t decodeTokens = 0; ///< Still expected by this node.

    [[nodiscard]] auto requests() const -> std::int64_t { return this->ownRequests + this->otherRequests; }
};

/**
 * Keeps the work that this node has open at each backend server, in requests and
 * tokens, and adds what the servers' late reports show of other nodes' work.
 *
 * A report is set against the node's own work at the moment that the report
 * shows, so that what was sent since is counted once.
 */
class OutstandingWork {
public:
    using TimePoint = RoutingPolicy::TimePoint;

    auto sent(const RoutingRequest&, const BackendServer&, TimePoint now) -> void;
    auto firstPieceReceived(std::uint64_t requestId, TimePoint now) -> void;

    /** Returns how long after the piece before this one came, or zero when that is not known. */
    auto pieceReceived(std::uint64_t requestId, std::int64_t tokens, TimePoint now) -> std::chrono::microseconds;

    /** Returns how long the request was open, or zero when it was not. */
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

    /** The node's own work at one moment. */
    struct Sample {
        TimePoint at;
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
    auto forgetIdle(const LoadReports&) -> void;

    std::unordered_map<std::uint64_t, OpenRequest> open;
    std::unordered_map<std::string, ServerState> servers;
    std::int64_t longRequests = 0;
};

} // namespace Primrosefork
