#include "streamattempt.h"

#include "callerrequest.h"
#include "errors.h"
#include "eventloop.h"
#include "metrics.h"
#include "nodesettings.h"

#include <utility>

namespace Primrosefork {

namespace {

auto attemptEndOf(std::error_code error) -> AttemptEnd
{
    if (!error)
        return AttemptEnd::Finished;
    return error == Error::Timeout ? AttemptEnd::Stalled : AttemptEnd::Failed;
}

} // namespace

StreamAttempt::StreamAttempt(const RequestContext& context, RoutingRequest routingRequest, BackendServer server)
    : context(context)
    , routingRequest(routingRequest)
    , server(std::move(server))
    , startTime(EventLoop::now())
    , streamPace(this->startTime, routingRequest.promptTokens)
{
}

StreamAttempt::~StreamAttempt()
{
    this->cancel(AttemptEnd::Cancelled);
}

auto StreamAttempt::begin(const GenerationRequest& request, bool repeated, StreamAttemptHandlers attemptHandlers) -> void
{
    this->isRepeated = repeated;
    this->handlers = std::move(attemptHandlers);
    this->assembler = std::make_unique<StreamAssembler>(request.offset);
    this->streamPace = StreamPace(this->startTime, estimateTokens(request.prompt) + estimateTokens(request.delivered));
    this->context.metrics.count("attempts_total{kind=\"model\"}");
    this->context.routing.requestSent(this->routingRequest, this->server, EventLoop::now());

    GenerationHandlers generationHandlers;
    generationHandlers.onBegin = [this](const GenerationSummary& summary) { this->countPromptTokens(summary); };
    generationHandlers.onPiece = [this](const GeneratedPiece& piece) { this->pieceReceived(piece); };
    generationHandlers.onDone = [this](std::error_code error, const GenerationSummary& summary) { this->ended(error, summary); };
    const auto& timeouts = this->context.settings.timeouts;
    this->generation = this->context.engines.generate(this->server.address, request,
        { timeouts.backendConnect, timeouts.backendFirstByte, timeouts.backendIdle }, std::move(generationHandlers));
}

auto StreamAttempt::cancel(AttemptEnd end) -> void
{
    if (std::exchange(this->hasEnded, true) || !this->generation)
        return;
    this->generation->cancel();
    this->context.routing.requestEnded(this->routingRequest, this->server, end, EventLoop::now());
}

auto StreamAttempt::pause() -> void
{
    if (this->hasEnded || std::exchange(this->hasPaused, true))
        return;
    this->generation->pause();
}

auto StreamAttempt::resume() -> void
{
    if (this->hasEnded || !std::exchange(this->hasPaused, false))
        return;
    this->streamPace.resumed(EventLoop::now());
    this->generation->resume();
}

auto StreamAttempt::countPromptTokens(const GenerationSummary& summary) -> void
{
    if (summary.computedPromptTokens + summary.cachedPromptTokens == 0 || std::exchange(this->hasCountedPrompt, true))
        return;
    const auto computed = static_cast<std::uint64_t>(summary.computedPromptTokens);
    this->context.metrics.count("prompt_tokens_total{source=\"computed\"}", computed);
    this->context.metrics.count("prompt_tokens_total{source=\"cached\"}", static_cast<std::uint64_t>(summary.cachedPromptTokens));
    if (this->isRepeated)
        this->context.metrics.count("recomputed_tokens_total", computed);
}

auto StreamAttempt::pieceReceived(const GeneratedPiece& piece) -> void
{
    const auto now = EventLoop::now();
    this->streamPace.pieceReceived(now);
    if (this->receivedPieces++ == 0)
        this->context.routing.firstPieceReceived(this->routingRequest, this->server, now);
    else
        this->context.routing.pieceReceived(this->routingRequest, this->server, 1, now);
    if (const auto error = this->assembler->add(piece.offset, piece.text)) {
        this->generation->cancel();
        return this->ended(error, {});
    }
    if (this->isReady())
        this->handlers.onReady(*this);
}

auto StreamAttempt::ended(std::error_code error, const GenerationSummary& summary) -> void
{
    if (this->hasEnded)
        return;
    if (!error && !this->assembler->isComplete(summary.tokens))
        error = Error::BadAnswer;
    this->hasEnded = true;
    this->countPromptTokens(summary);
    this->context.routing.requestEnded(this->routingRequest, this->server, attemptEndOf(error), EventLoop::now());
    this->handlers.onEnd(*this, error);
}

} // namespace Primrosefork
