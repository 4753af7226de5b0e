#pragma once

#include "backendserver.h"
#include "engine.h"
#include "requestcontext.h"
#include "routingpolicy.h"
#include "streamassembler.h"
#include "streampace.h"

#include <functional>
#include <memory>
#include <string>

namespace Primrosefork {

class StreamAttempt;

/** Callbacks of an attempt to the run that it belongs to. */
struct StreamAttemptHandlers {
    std::function<void(StreamAttempt&)> onReady; ///< Called when the next token can be taken.
    std::function<void(StreamAttempt&, std::error_code)> onEnd; ///< Called once, after all other callbacks, when the attempt ended; not called after cancel().
};

/**
 * One attempt at a stream on one engine. It buffers the received tokens until
 * the run takes them, and reports its progress to the routing policy.
 */
class StreamAttempt {
public:
    StreamAttempt(const RequestContext&, RoutingRequest, BackendServer);
    ~StreamAttempt();
    StreamAttempt(const StreamAttempt&) = delete;
    auto operator=(const StreamAttempt&) -> StreamAttempt& = delete;

    auto begin(const GenerationRequest&, bool isRepeated, StreamAttemptHandlers) -> void;

    /** Ends the attempt, also on the engine, and reports \a end to the routing policy. */
    auto cancel(AttemptEnd end) -> void;
    auto pause() -> void;
    auto resume() -> void;

    [[nodiscard]] auto backendServer() const -> const BackendServer& { return this->server; }
    [[nodiscard]] auto started() const -> std::chrono::steady_clock::time_point { return this->startTime; }
    [[nodiscard]] auto pace() const -> const StreamPace& { return this->streamPace; }
    [[nodiscard]] auto isPaused() const -> bool { return this->hasPaused; }
    [[nodiscard]] auto isReady() const -> bool { return this->assembler && this->assembler->isReady(); }

    /** Returns whether a token was received from the engine. */
    [[nodiscard]] auto hasBegun() const -> bool { return this->receivedPieces > 0; }

    /** Removes the next token and returns its text. */
    auto takeToken() -> std::string { return this->assembler->take(); }

private:
    auto pieceReceived(const GeneratedPiece&) -> void;
    auto ended(std::error_code, const GenerationSummary&) -> void;
    auto countPromptTokens(const GenerationSummary&) -> void;

    RequestContext context;
    RoutingRequest routingRequest;
    BackendServer server;
    std::chrono::steady_clock::time_point startTime;
    StreamPace streamPace;
    std::unique_ptr<StreamAssembler> assembler;
    StreamAttemptHandlers handlers;
    std::shared_ptr<Generation> generation;
    std::size_t receivedPieces = 0; ///< Number of pieces received from the engine, including duplicates.
    bool isRepeated = false; ///< Whether another attempt computed the same prompt before, so that computed prompt tokens count as recomputed.
    bool hasCountedPrompt = false;
    bool hasPaused = false;
    bool hasEnded = false;
};

} // namespace Primrosefork
