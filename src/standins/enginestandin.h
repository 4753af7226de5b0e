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

/** How a stand-in engine works. */
struct EngineOptions {
    std::string id;
    std::int64_t slots = 8;
    std::int64_t prefillTokensPerSecond = 8000;
    std::chrono::microseconds step { 20'000 };
    std::int64_t tokensPerStep = 1; ///< Of each running stream.
    std::size_t cacheBlocks = 1024;
    std::chrono::milliseconds loadLag { 1'000 };
    std::int64_t exportTokensPerSecond = 0; ///< Of KV cache sent to another engine; 0 is no export.
};

/**
 * Stands in for a model engine: batches continuously in a number of slots,
 * takes waiting streams by priority, prefills before it decodes, and reports
 * its load late.
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
        std::string delivered;
        std::string heldLine; ///< Sent after the one that follows it.
        std::int64_t priority = 0;
        std::int64_t maxTokens = 0;
        std::int64_t next = 0; ///< Offset of the token made next.
        std::int64_t prefillLeft = 0;
        std::int64_t computedTokens = 0;
        std::int64_t cachedTokens = 0;
        std::int64_t importedTokens = 0;
        bool isStreamBegun = false;
        bool isMisrouted = false; ///< Names another stream and answers another prompt.
    };

    struct Load {
        EventLoop::TimePoint shownFrom;
        std::int64_t running = 0;
        std::int64_t waiting = 0;
        std::int64_t waitingTokens = 0;
    };

    auto handle(const std::shared_ptr<HttpExchange>&) -> void;
    auto control(const std::shared_ptr<HttpExchange>&) -> void;
    auto generate(const std::shared_ptr<HttpExchange>&) -> void;
    auto enqueue(Stream) -> void;
    auto importCache(const Address& source, std::shared_ptr<Stream>) -> void;
    auto exportCache(const std::shared_ptr<HttpExchange>&) -> void;
    [[nodiscard]] auto find(const std::string& id) const -> const Stream*;
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
    auto noteLoad() -> void;

    EventLoop& loop;
    HttpServer server;
    HttpClient client;
    EngineOptions options;
    Faults faults;
    Timer stepTimer;
    PrefixCache cache;
    double slowdown = 1.0;
    bool isFrozen = false; ///< Takes streams and makes no token.
    bool isShuffling = false; ///< Sends tokens out of order and twice.
    std::string variant; ///< Not empty: its tokens depend on it and on all text before them.
    std::int64_t misroutedStreams = 0; ///< So many next streams answer another request.
    std::list<Stream> waiting;
    std::list<Stream> running;
    std::deque<Load> loads;
    std::int64_t computedTokens = 0; ///< Prompt tokens, all told.
    std::int64_t importedTokens = 0; ///< Prompt tokens that came from another engine.
    std::int64_t generatedTokens = 0;
    std::int64_t startedStreams = 0;
};

} // namespace Primrosefork
