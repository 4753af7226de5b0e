#pragma once

#include "address.h"
#include "backendserver.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace Primrosefork {

/**
 * A request for a token stream of a model engine.
 *
 * It includes the text that the caller already has, so that an engine without
 * any state of the stream can continue where another one stopped.
 */
struct GenerationRequest {
    std::string streamId; ///< Id of the stream; all attempts for one caller's request share it.
    std::string prompt;
    std::int64_t maxTokens = 0;
    std::int64_t priority = 5;
    std::int64_t offset = 0; ///< Index of the first token that the engine is to send.
    std::string delivered; ///< Text of the tokens before \a offset, which the caller already has.
    Address importFrom; ///< Engine that currently runs the stream, from which its KV cache can be imported; port 0 when there is none.
};

/** One token of a stream. */
struct GeneratedPiece {
    std::int64_t offset = 0;
    std::string text;
};

/** What an engine reports about a stream that it completed. */
struct GenerationSummary {
    std::int64_t tokens = 0; ///< Number of tokens of the whole answer.
    std::int64_t computedPromptTokens = 0; ///< Prompt tokens that were not in the engine's cache.
    std::int64_t cachedPromptTokens = 0; ///< Prompt tokens that were in the engine's cache.
};

/** Callbacks by which a generation reports to its owner. */
struct GenerationHandlers {
    /**
     * Called when the engine accepts the stream, before the first piece. The
     * prompt token counts are 0 for engines that report them only at the end.
     */
    std::function<void(const GenerationSummary&)> onBegin;

    std::function<void(const GeneratedPiece&)> onPiece; ///< Called for each token.
    std::function<void(std::error_code, const GenerationSummary&)> onDone; ///< Called once, after all other handlers; not called after cancel().
};

/**
 * A token stream in progress from an engine.
 */
class Generation {
public:
    virtual ~Generation() = default;

    /** Ends the stream, also at the engine; no handler is called afterwards. */
    virtual auto cancel() -> void = 0;
    virtual auto pause() -> void = 0;
    virtual auto resume() -> void = 0;
};

/** Timeouts of a generation; exceeding one ends it with an error. */
struct GenerationTimeouts {
    std::chrono::milliseconds connect { 1'000 }; ///< Longest time to open the connection.
    std::chrono::milliseconds firstPiece { 30'000 }; ///< Longest time from the request to the headers of the answer.
    std::chrono::milliseconds idle { 2'000 }; ///< Longest time between two pieces.
};

/**
 * The interface to model engines.
 */
class Engines {
public:
    using LoadHandler = std::function<void(std::error_code, const LoadReport&)>;

    virtual ~Engines() = default;

    virtual auto generate(const Address& engine, const GenerationRequest&, const GenerationTimeouts&, GenerationHandlers)
        -> std::shared_ptr<Generation> = 0;

    /** Fetches the load that \a engine reports, which may be out of date; LoadReport::received is not set. */
    virtual auto fetchLoad(const Address& engine, LoadHandler) -> void = 0;
};

} // namespace Primrosefork
