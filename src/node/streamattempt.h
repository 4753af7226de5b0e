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

/** What an attempt tells the run that it belongs to. */
struct StreamAttemptHandlers {
    std::function<void(StreamAttempt&)> onReady; ///< The next token is there.
    std::function<void(StreamAttempt&, std::error_code)> onEnd; ///< Called last and once, but not after cancel().
};

/**
 * One attempt at a stream on one engine. It keeps the tokens received until
 * the run takes them, and tells the routing policy what happens to it.
 */
class StreamAttempt {
public:
    StreamAttempt(const RequestContext&, RoutingRequest, BackendServer);
    ~StreamAttempt();
    StreamAttempt(const StreamAttempt&) = delete;
    auto operator=(const StreamAttempt&) -> StreamAttempt& = delete;

    auto begin(const GenerationRequest&, bool isRepeated, StreamAttemptHandlers) -> void;

    /** Ends the attempt, also at the engine; \a end is what the routing policy is told. */
    auto cancel(AttemptEnd end) -> void;
    auto pause() -> void;
    auto resume() -> void;

    [[nodiscard]] auto backendServer() const -> const BackendServer& { return this->server; }
    [[nodiscard]] auto started() const -> std::chrono::steady_clock::time_point { return this->startTime; }
    [[nodiscard]] auto pace() const -> const StreamPace& { return this->streamPace; }
    [[nodiscard]] auto isPaused() const -> bool { return this->hasPaused; }
    [[nodiscard]] auto isReady() const -> bool { return this->assembler && this->assembler->isReady(); }

    /** Returns whether a token has come from the engine. */
    [[nodiscard]] auto hasBegun() const -> bool { return this->pieces > 0; }

    /** Removes the next token and returns its text. */
    auto take() -> std::string { return this->assembler->take(); }

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
    std::size_t pieces = 0;
    bool isRepeated = false; ///< Another attempt computed the same prompt before.
    bool hasCountedPrompt = false;
    bool hasPaused = false;
    bool hasEnded = false;
};

} // namespace Primrosefork
