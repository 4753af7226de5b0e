#pragma once

#include "callerrequest.h"
#include "eventloop.h"
#include "requestcontext.h"
#include "requestrun.h"
#include "retrypolicy.h"
#include "routingpolicy.h"
#include "stalledservers.h"
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
 * Streams the answer of a model engine to a caller, and continues with another
 * engine when one fails, stalls or is to be reclaimed.
 *
 * A second attempt starts at the next token that the caller needs, while the
 * first one continues. After a stall, the attempt that produces the next token
 * first is kept; in a move off an engine that is to be reclaimed, the second one
 * is kept unless it is abandoned. The other attempt is cancelled and all further
 * tokens come from the one that was kept, so that the answer stays consistent
 * even when two engines would generate different tokens.
 */
class ModelRun : public RequestRun {
public:
    ModelRun(const RequestContext&, StalledServers&, CallerRequest, std::shared_ptr<HttpExchange>, EndHandler);
    ~ModelRun() override;

    auto begin() -> void override;
    auto callerDisconnected() -> void override;
    auto reclaimNoticesChanged() -> void override;
    auto nodeLeaving() -> void override;
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    /** Reason for a second attempt. */
    enum class SecondReason {
        Silence, ///< No token has come from the first attempt within its limit.
        Reclaim, ///< The engine of the first attempt is to be reclaimed.
    };

    auto startFirst() -> void;
    auto startSecond(SecondReason) -> bool;
    [[nodiscard]] auto startAttempt(const BackendServer&, const Address& importFrom) -> std::shared_ptr<StreamAttempt>;
    [[nodiscard]] auto chooseServer() -> const BackendServer*;
    [[nodiscard]] auto isSilent(const StreamAttempt&) const -> bool;
    auto waitForServer() -> void;
    auto tokensReady(StreamAttempt&) -> void;
    auto attemptEnded(StreamAttempt&, std::error_code) -> void;
    auto scheduleRetry(std::error_code) -> void;
    auto promoteSecond(AttemptEnd endOfFirst) -> void;
    auto dropSecond() -> void;
    auto discard(std::shared_ptr<StreamAttempt>, AttemptEnd) -> void;
    auto deliverReady() -> void;
    auto deliver(const std::string& line) -> void;
    auto callerDrained() -> void;

    auto updateSilenceTimer() -> void;
    auto silenceTimerFired() -> void;
    auto planHandBack() -> void;
    auto planMove() -> void;
    auto moveTimerFired() -> void;
    [[nodiscard]] auto describeStream(const ReclaimNotice&) -> MovingStream;

    auto finish() -> void;
    auto giveUp(std::error_code) -> void;
    auto handBack() -> void;
    auto refuse(const Refusal&) -> void;
    auto end() -> void;
    [[nodiscard]] auto routingRequest() const -> RoutingRequest;
    [[nodiscard]] auto retryRequest(int failedAttempts) const -> RetryRequest;
    [[nodiscard]] auto runningServers() const -> std::set<std::string>;

    RequestContext context;
    StalledServers& silentServers;
    CallerRequest request;
    std::shared_ptr<HttpExchange> exchange;
    EndHandler onEnd;
    Timer retryTimer;
    Timer deadlineTimer;
    Timer silenceTimer;
    Timer moveTimer;
    Timer handBackTimer;
    std::string streamId;
    std::int64_t nextOffset; ///< Offset of the token that is delivered next.
    std::string text; ///< Text of all tokens before nextOffset.
    std::shared_ptr<StreamAttempt> first;
    std::shared_ptr<StreamAttempt> second; ///< Attempt on another engine; its first token ends the first attempt.
    SecondReason secondReason = SecondReason::Silence;
    std::set<std::string> failedServers; ///< Ids of servers whose attempt at this stream failed, stalled or was abandoned.
    std::vector<std::uint64_t> prefixBlocks; ///< Hashes of the prompt's blocks, from prefixBlocks().
    std::optional<EventLoop::TimePoint> engineNoticeTime; ///< Time at which this run first saw the reclaim notice of the first attempt's engine.
    std::optional<EventLoop::TimePoint> nodeNoticeTime; ///< Time at which this run first saw the reclaim notice of its own node.
    int unreadPieces = 0; ///< Number of pieces sent since the caller last had read everything.
    int attempts = 0; ///< Number of attempts started so far.
    int failuresInRow = 0; ///< Number of failed or stalled attempts since the last token.
    bool isSecondGranted = false; ///< Whether the retry policy has granted a second attempt for which no server was found yet.
    int abandonedMoves = 0; ///< Number of moves off the first attempt's engine that were abandoned.
    bool hasEnded = false;
};

} // namespace Primrosefork
