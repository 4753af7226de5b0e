#pragma once

#include "callerrequest.h"
#include "eventloop.h"
#include "requestcontext.h"
#include "requestrun.h"
#include "retrypolicy.h"
#include "routingpolicy.h"
#include "silentservers.h"
#include "streamattempt.h"
#include "streammovepolicy.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Primrosefork {

class HttpExchange;

/**
 * Streams the answer of a model engine to a caller, and goes on with another
 * engine when one fails, falls silent or is to be reclaimed.
 *
 * A second attempt starts at the next token that the caller needs, while the
 * first one goes on. The caller gets the tokens of the attempt that speaks
 * first, and from then on of it alone, so that the answer stays of one piece
 * also with engines that would not choose the same tokens twice.
 */
class ModelRun : public RequestRun {
public:
    ModelRun(const RequestContext&, SilentServers&, CallerRequest, std::shared_ptr<HttpExchange>, EndHandler);
    ~ModelRun() override;

    auto begin() -> void override;
    auto callerGone() -> void override;
    auto reclaimNoticed() -> void override;
    auto nodeLeaving() -> void override;
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    /** Why there is a second attempt. */
    enum class SecondReason {
        Silence, ///< The first one says nothing.
        Reclaim, ///< The engine of the first one is to be reclaimed.
    };

    auto startFirst() -> void;
    auto startSecond(SecondReason) -> bool;
    [[nodiscard]] auto startAttempt(const BackendServer&, const Address& importFrom) -> std::shared_ptr<StreamAttempt>;
    [[nodiscard]] auto chooseServer() -> const BackendServer*;
    [[nodiscard]] auto isSilent(const StreamAttempt&) const -> bool;
    auto waitForServer() -> void;
    auto tokensReady(StreamAttempt&) -> void;
    auto attemptEnded(StreamAttempt&, std::error_code) -> void;
    auto retryAfter(std::error_code) -> void;
    auto promoteSecond(AttemptEnd endOfFirst) -> void;
    auto dropSecond() -> void;
    auto discard(std::shared_ptr<StreamAttempt>, AttemptEnd) -> void;
    auto deliverReady() -> void;
    auto deliver(const std::string& line) -> void;
    auto callerDrained() -> void;

    auto watchSilence() -> void;
    auto fellSilent() -> void;
    auto planLeave() -> void;
    auto planMove() -> void;
    auto moveTimerFired() -> void;
    [[nodiscard]] auto movingStream(const ReclaimNotice&) -> MovingStream;

    auto finish() -> void;
    auto giveUp(std::error_code) -> void;
    auto handBack() -> void;
    auto refuse(const Refusal&) -> void;
    auto end() -> void;
    [[nodiscard]] auto routingRequest() const -> RoutingRequest;
    [[nodiscard]] auto retryRequest(int failedAttempts) const -> RetryRequest;
    [[nodiscard]] auto runningServers() const -> std::set<std::string>;

    RequestContext context;
    SilentServers& silentServers;
    CallerRequest request;
    std::shared_ptr<HttpExchange> exchange;
    EndHandler onEnd;
    Timer retryTimer;
    Timer deadlineTimer;
    Timer silenceTimer;
    Timer moveTimer;
    Timer leaveTimer;
    std::string streamId;
    std::int64_t nextOffset; ///< Of the token that is delivered next.
    std::string text; ///< Of all tokens before nextOffset.
    std::shared_ptr<StreamAttempt> first;
    std::shared_ptr<StreamAttempt> second; ///< Its first token ends the first attempt.
    SecondReason secondReason = SecondReason::Silence;
    std::set<std::string> failedServers;
    std::vector<std::uint64_t> prefixBlocks; ///< Of the prompt.
    std::optional<EventLoop::TimePoint> engineNoticed; ///< When the reclaim of the first attempt's engine was seen.
    std::optional<EventLoop::TimePoint> nodeNoticed;
    int unreadPieces = 0; ///< Sent since the caller had read everything.
    int attempts = 0;
    int failuresInRow = 0; ///< Since the last token.
    bool isSecondGranted = false; ///< The retry policy has allowed a second attempt that found no server yet.
    int abandonedMoves = 0; ///< Of the first attempt's engine.
    bool hasEnded = false;
};

} // namespace Primrosefork
