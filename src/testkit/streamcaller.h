#pragma once

#include "address.h"
#include "blockingclient.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace Primrosefork::Testkit {

/** What a caller asks for, and where. */
struct StreamOrder {
    std::vector<Address> nodes; ///< Asked in turn, the next one after each broken answer.
    std::size_t firstNode = 0;
    std::string prompt;
    std::int64_t tokens = 0;
    std::string path = "/v1/services/desk/draft";
    bool dependsOnHistory = false; ///< The engines are told a "variant" of one letter each.
    std::string key; ///< Sent as Request-Key when not empty.
    std::chrono::milliseconds idleLimit { 10'000 }; ///< After which the caller asks again.
};

/** What a caller got. */
struct StreamRecord {
    std::int64_t received = 0; ///< Tokens, each checked.
    std::int64_t wrongTokens = 0; ///< Of another text than the stand-in engines make.
    std::int64_t gaps = 0; ///< Tokens that came before the one expected.
    std::int64_t repeats = 0; ///< Tokens that came again in one answer.
    std::int64_t asks = 0;
    std::int64_t refusals = 0; ///< Answers of another status than 200.
    std::chrono::milliseconds longestStall { 0 }; ///< Between two tokens, also across asks.
    std::chrono::milliseconds firstToken { 0 }; ///< From the first ask.
    bool isWhole = false;

    [[nodiscard]] auto isRight() const -> bool { return this->isWhole && this->wrongTokens + this->gaps + this->repeats == 0; }
};

/**
 * A caller of one stream that checks every byte and offset of its answer, and
 * asks again from its offset when an answer ends without its last line.
 */
class StreamCaller {
public:
    StreamCaller(BlockingClient&, StreamOrder);
    ~StreamCaller();
    StreamCaller(const StreamCaller&) = delete;
    auto operator=(const StreamCaller&) -> StreamCaller& = delete;

    auto begin() -> void;

    /** Goes away without waiting for the rest. */
    auto leave() -> void;

    /** Reads nothing until resume(). */
    auto pause() -> void { this->call->pause(); }
    auto resume() -> void { this->call->resume(); }

    [[nodiscard]] auto record() const -> const StreamRecord& { return this->result; }

private:
    auto ask() -> void;
    auto received(std::string_view) -> void;
    auto readLine(const std::string&) -> void;
    auto readToken(std::int64_t offset, const std::string& text) -> void;
    auto ended() -> void;
    [[nodiscard]] auto expectedText(const std::string& text) const -> std::string;

    BlockingClient& client;
    StreamOrder order;
    StreamRecord result;
    std::shared_ptr<HttpCall> call;
    std::unique_ptr<Timer> timer;
    std::string delivered;
    std::string buffer;
    EventLoop::TimePoint begun;
    EventLoop::TimePoint lastToken;
    std::size_t node;
    int status = 0;
};

/** What many callers got together. */
struct StreamTotals {
    std::int64_t whole = 0;
    std::int64_t right = 0;
    std::int64_t wrongTokens = 0;
    std::int64_t gaps = 0;
    std::int64_t repeats = 0;
    std::int64_t asks = 0;
    std::chrono::milliseconds longestStall { 0 };
    std::chrono::milliseconds longestFirstToken { 0 };
};

/** Adds up the records of \a callers. */
[[nodiscard]] auto totalsOf(const std::vector<std::unique_ptr<StreamCaller>>& callers) -> StreamTotals;

/** Returns the metric \a name of the node whose operators' port is \a operators; 0 when it has none. */
[[nodiscard]] auto readMetric(BlockingClient&, const Address& operators, const std::string& name) -> double;

} // namespace Primrosefork::Testkit
