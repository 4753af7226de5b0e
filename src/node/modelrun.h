#pragma once

#include "backendserver.h"
#include "callerrequest.h"
#include "engine.h"
#include "eventloop.h"
#include "requestcontext.h"
#include "requestrun.h"
#include "routingpolicy.h"

#include <memory>
#include <set>
#include <string>

namespace Primrosefork {

class HttpExchange;

/**
 * Streams the answer of a model engine to a caller, and goes on with another
 * engine when one fails in the middle.
 */
class ModelRun : public RequestRun {
public:
    ModelRun(const RequestContext&, CallerRequest, std::shared_ptr<HttpExchange>, EndHandler);
    ~ModelRun() override;

    auto begin() -> void override;
    auto callerGone() -> void override;
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto attempt() -> void;
    auto pieceReceived(const GeneratedPiece&) -> void;
    auto attemptEnded(std::error_code, const GenerationSummary&) -> void;
    auto deliver(const std::string& line) -> void;
    auto finish(const GenerationSummary&) -> void;
    auto giveUp(std::error_code) -> void;
    auto refuse(const Refusal&) -> void;
    auto end() -> void;
    auto callerDrained() -> void;
    [[nodiscard]] auto routingRequest() const -> RoutingRequest;

    RequestContext context;
    CallerRequest request;
    std::shared_ptr<HttpExchange> exchange;
    EndHandler onEnd;
    Timer retryTimer;
    Timer deadlineTimer;
    std::string streamId;
    std::int64_t nextOffset; ///< Of the token that is delivered next.
    std::string text; ///< Of all tokens before nextOffset.
    std::shared_ptr<Generation> generation;
    BackendServer server; ///< Of the present attempt.
    std::set<std::string> failedServers;
    std::vector<std::uint64_t> prefixBlocks; ///< Of the prompt.
    int attempts = 0;
    std::size_t piecesOfAttempt = 0;
    bool isPaused = false;
    bool hasEnded = false;
};

} // namespace Primrosefork
