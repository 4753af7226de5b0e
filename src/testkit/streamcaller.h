#pragma once

#include "address.h"
#include "blockingclient.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace Primrosefork::Testkit {

/** The request of a stream caller and the nodes to which it is sent. */
struct StreamRequest {
    std::vector<Address> nodes; ///< Nodes to which the requests are sent in turn; each repeat goes to the next one.
    std::size_t firstNode = 0; ///< Index of the node that gets the first request.
    std::string prompt;
    std::int64_t tokens = 0; ///< Number of tokens to request.
    std::string path = "/v1/services/desk/draft";
    bool dependsOnHistory = false; ///< Each engine was set to a "variant" of one letter, so that a token depends on the text before it.
    std::string key; ///< Sent as Request-Key when not empty.
    std::chrono::milliseconds idleTimeout { 10'000 }; ///< Time without a byte from the node after which the request is sent again.
};

/** One request of a stream caller. */
struct SentRequest {
    std::size_t node = 0; ///< Index of the node that got the request.
    std::int64_t offset = 0; ///< Offset that was requested.
    std::int64_t received = 0; ///< Tokens that were received in answer to it.
    int status = 0; ///< HTTP status of the response; 0 when there was none.
    EventLoop::TimePoint sent;
    EventLoop::TimePoint ended; ///< Time at which the response or the wait for it ended.
};

/** The result of one stream caller. */
struct StreamRecord {
    std::int64_t received = 0; ///< Received tokens; each one is checked.
    std::int64_t wrongTokens = 0; ///< Tokens whose text is not the one that the stand-in engines generate, and unparsable lines.
    std::int64_t gaps = 0; ///< Tokens with a larger offset than the expected one.
    std::int64_t repeats = 0; ///< Tokens with a smaller offset than the expected one.
    std::int64_t requests = 0; ///< Number of requests, with the first one.
    std::int64_t refusals = 0; ///< Responses with another status than 200.
    std::chrono::milliseconds longestStall { 0 }; ///< Longest time between two tokens, also across a repeated request.
    EventLoop::TimePoint longestStallEnd; ///< Time of the token that ended the longest stall.
    std::vector<SentRequest> sent; ///< All requests in the order in which they were sent.
    std::chrono::milliseconds firstToken { 0 }; ///< Time from the first request to the first token.
    bool isComplete = false; ///< The last line and all requested tokens were received.

    /** Returns whether the answer is complete and has no wrong, missing or repeated token. */
    [[nodiscard]] auto isCorrect() const -> bool { return this->isComplete && this->wrongTokens + this->gaps + this->repeats == 0; }
};

/**
 * A caller that requests one stream, checks every byte and offset of the answer,
 * and sends the request again from its offset when an answer ends without its last
 * line.
 */
class StreamCaller {
public:
    StreamCaller(BlockingClient&, StreamRequest);
    ~StreamCaller();
    StreamCaller(const StreamCaller&) = delete;
    auto operator=(const StreamCaller&) -> StreamCaller& = delete;

    /** Sends the first request. */
    auto begin() -> void;

    /** Closes the connection without waiting for the rest of the answer and sends no further request. */
    auto disconnect() -> void;

    /** Stops reading the answer until resume() is called. */
    auto pause() -> void { this->call->pause(); }
    auto resume() -> void { this->call->resume(); }

    [[nodiscard]] auto record() const -> const StreamRecord& { return this->result; }

private:
    auto sendRequest() -> void;
    auto handlePiece(std::string_view) -> void;
    auto readLine(const std::string&) -> void;
    auto readToken(std::int64_t offset, const std::string& text) -> void;
    auto recordGap(EventLoop::TimePoint) -> void;
    auto handleEnd() -> void;
    [[nodiscard]] auto expectedText(const std::string& text) const -> std::string;

    BlockingClient& client;
    StreamRequest request;
    StreamRecord result;
    std::shared_ptr<HttpCall> call;
    std::unique_ptr<Timer> retryTimer;
    std::string delivered; ///< Text of all received tokens.
    std::string buffer; ///< Received bytes after the last complete line.
    EventLoop::TimePoint startedAt;
    EventLoop::TimePoint lastTokenAt;
    std::size_t nextNode; ///< Number of the node that gets the next request, modulo the number of nodes.
    int status = 0; ///< HTTP status of the current response; 0 before its headers.
};

/** The sum of the results of many callers. */
struct StreamTotals {
    std::int64_t complete = 0; ///< Number of complete answers.
    std::int64_t correct = 0; ///< Number of complete answers without a wrong, missing or repeated token.
    std::int64_t wrongTokens = 0;
    std::int64_t gaps = 0;
    std::int64_t repeats = 0;
    std::int64_t requests = 0; ///< Number of requests.
    std::chrono::milliseconds longestStall { 0 };
    std::chrono::milliseconds longestFirstToken { 0 };
};

/** Returns the sum of the results of \a callers; the durations are the longest ones. */
[[nodiscard]] auto totalsOf(const std::vector<std::unique_ptr<StreamCaller>>& callers) -> StreamTotals;

/**
 * Returns the metric \a name, with or without the prefix "primrosefork_", of the node
 * whose operators' address is \a operators; 0 when the node has no such metric.
 */
[[nodiscard]] auto readMetric(BlockingClient&, const Address& operators, const std::string& name) -> double;

} // namespace Primrosefork::Testkit
