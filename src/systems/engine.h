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
 * A stream that a model engine is asked for.
 *
 * The text that the caller already has goes with it, so that an engine that
 * never saw the stream goes on where another one stopped.
 */
struct GenerationRequest {
    std::string streamId; ///< The same for each attempt at one caller's request.
    std::string prompt;
    std::int64_t maxTokens = 0;
    std::int64_t priority = 5;
    std::int64_t offset = 0; ///< Index of the first token wanted.
    std::string delivered; ///< Text of the tokens before \a offset.
    Address importFrom; ///< Engine that runs the stream now, to fetch its KV cache from; port 0 when there is none.
};

/** One token of a stream. */
struct GeneratedPiece {
    std::int64_t offset = 0;
    std::string text;
};

/** What an engine says when a stream has ended by itself. */
struct GenerationSummary {
    std::int64_t tokens = 0; ///< Of the whole answer.
    std::int64_t computedPromptTokens = 0; ///< Prompt tokens that were not in the engine's cache.
    std::int64_t cachedPromptTokens = 0;
};

/** What a generation tells its owner. */
struct GenerationHandlers {
    std::function<void(const GenerationSummary&)> onBegin; ///< Called before the first piece by engines that tell their prompt tokens then.
    std::function<void(const GeneratedPiece&)> onPiece;
    std::function<void(std::error_code, const GenerationSummary&)> onDone; ///< Called last and once, but not after cancel().
};

/**
 * A stream under way from an engine.
 */
class Generation {
public:
    virtual ~Generation() = default;

    /** Ends the stream, also at the engine. */
    virtual auto cancel() -> void = 0;
    virtual auto pause() -> void = 0;
    virtual auto resume() -> void = 0;
};

/** How long a generation may wait for its engine. */
struct GenerationTimeouts {
    std::chrono::milliseconds connect { 1'000 };
    std::chrono::milliseconds firstPiece { 30'000 };
    std::chrono::milliseconds idle { 2'000 }; ///< Between two pieces.
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

    /** Fetches the load that \a engine reports, which lags; LoadReport::received is not set. */
    virtual auto fetchLoad(const Address& engine, LoadHandler) -> void = 0;
};

} // namespace Primrosefork
