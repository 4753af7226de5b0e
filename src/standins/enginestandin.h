#pragma once

#include "address.h"
#include "eventloop.h"
#include "faults.h"
#include "httpclient.h"
#include "httpserver.h"
#include "prefixcache.h"

#include <chrono>
#include <deque>
#include <list>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace Primrosefork {

/** The capacity and the speed of a stand-in engine. */
struct EngineOptions {
    std::string id;
    std::int64_t slots = 8; ///< Number of streams that run at the same time.
    std::int64_t prefillTokensPerSecond = 8000; ///< Shared by all running streams.
    std::chrono::microseconds step { 20'000 }; ///< Duration of one step of the batch.
    std::int64_t tokensPerStep = 1; ///< Tokens that each running stream generates in one step.
    std::size_t cacheBlocks = 1024; ///< Capacity of the prefix cache in blocks.
    std::chrono::milliseconds loadLag { 1'000 }; ///< Age of the load that the engine reports.
    std::int64_t exportTokensPerSecond = 0; ///< Speed at which KV cache is sent to another engine; 0 disables the export.
};

/**
 * Stand-in of a model engine: batches continuously in a number of slots, starts
 * waiting streams by priority, prefills before it decodes, and reports its load
 * with a lag.
 *
 * POST /control takes the fields of Faults, "slowdown" (factor on the duration of a
 * step), "frozen", "shuffle", "variant", "misroute" (the number of streams to
 * misroute) and "drop_cache", and returns the counters of the engine.
 */
class EngineStandin {
public:
    EngineStandin(EventLoop&, EngineOptions);

    auto listen(const Address&) -> std::error_code;

private:
    struct Stream {
        std::string id;
        std::shared_ptr<HttpExchange> exchange;
        std::string prompt;
        std::string delivered; ///< Text of all tokens before nextOffset.
        std::string heldLine; ///< Line that is sent after the line that follows it.
        std::int64_t priority = 0; ///< Streams of a higher priority start first.
        std::int64_t maxTokens = 0; ///< Offset at which the answer ends.
        std::int64_t nextOffset = 0; ///< Offset of the token that is generated next.
        std::int64_t remainingPrefillTokens = 0;
        std::int64_t computedTokens = 0; ///< Prompt tokens to prefill.
        std::int64_t cachedTokens = 0; ///< Prompt tokens found in the prefix cache or imported.
        std::int64_t importedTokens = 0; ///< Prompt tokens whose KV cache another engine sent.
        bool hasBegun = false; ///< The response headers have been sent.
        bool isMisrouted = false; ///< The response carries the id of another stream and answers another prompt.
    };

    struct Load {
        EventLoop::TimePoint visibleFrom; ///< Time at which the report begins to show this load.
        std::int64_t running = 0;
        std::int64_t waiting = 0;
        std::int64_t waitingTokens = 0; ///< Prompt tokens that the waiting streams have to prefill.
    };

    auto handle(const std::shared_ptr<HttpExchange>&) -> void;
    auto control(const std::shared_ptr<HttpExchange>&) -> void;
    auto generate(const std::shared_ptr<HttpExchange>&) -> void;
    auto enqueue(Stream) -> void;
    auto importCache(const Address& source, std::shared_ptr<Stream>) -> void;
    auto exportCache(const std::shared_ptr<HttpExchange>&) -> void;
    [[nodiscard]] auto findRunning(const std::string& id) const -> const Stream*;
    auto reportLoad(const std::shared_ptr<HttpExchange>&) -> void;
    auto fillSlots() -> void;
    auto startStep() -> void;
    auto endStep() -> void;
    auto prefill() -> void;
    auto decode() -> void;
    [[nodiscard]] auto nextText(const Stream&) const -> std::string;
    auto sendToken(Stream&) -> void;
    auto sendShuffled(Stream&, const std::string& line) -> void;
    auto endStream(Stream&) -> void;
    auto recordLoad() -> void;

    EventLoop& loop;
    HttpServer server;
    HttpClient client;
    EngineOptions options;
    Faults faults;
    Timer stepTimer;
    PrefixCache cache;
    double slowdown = 1.0; ///< Factor on the duration of a step.
    bool isFrozen = false; ///< Accepts streams and generates no tokens.
    bool isShuffling = false; ///< Sends tokens out of order and twice.
    std::string variant; ///< If not empty, each token depends on the variant and on all text before the token.
    std::int64_t misroutedStreams = 0; ///< Number of following streams that answer another request.
    std::list<Stream> waiting;
    std::list<Stream> running;
    std::deque<Load> loads; ///< In the order of visibleFrom.
    std::int64_t computedTokens = 0; ///< Prompt tokens that were prefilled since the start.
    std::int64_t importedTokens = 0; ///< Prompt tokens whose KV cache other engines sent since the start.
    std::int64_t generatedTokens = 0;
    std::int64_t startedStreams = 0;
};

} // namespace Primrosefork
