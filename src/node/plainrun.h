#pragma once

#include "backendserver.h"
#include "callerrequest.h"
#include "claimmanager.h"
#include "eventloop.h"
#include "plainservice.h"
#include "requestcontext.h"
#include "requestrun.h"
#include "routingpolicy.h"

#include <memory>
#include <set>
#include <string>

namespace Primrosefork {

class HttpExchange;

/**
 * Forwards a call to a plain service. A call that is not idempotent is claimed
 * first, and retried only if no byte of it can have reached a service.
 */
class PlainRun : public RequestRun {
public:
    PlainRun(const RequestContext&, CallerRequest, std::shared_ptr<HttpExchange>, EndHandler);
    ~PlainRun() override;

    auto begin() -> void override;
    auto callerDisconnected() -> void override;
    auto nodeLeaving() -> void override;
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto acquireClaim() -> void;
    auto claimDecided(const ClaimResult&) -> void;
    auto startCall() -> void;
    auto attempt() -> void;
    auto attemptEnded(const PlainResult&) -> void;
    auto giveUp(std::error_code) -> void;
    auto sendAnswer(const HttpResponse&) -> void;
    auto replay(const KeptAnswer&) -> void;
    auto releaseClaim(const Refusal&) -> void;
    auto refuse(const Refusal&) -> void;
    auto end() -> void;
    [[nodiscard]] auto routingRequest() const -> RoutingRequest;
    [[nodiscard]] auto makeCall() const -> PlainCall;

    RequestContext context;
    CallerRequest request;
    std::shared_ptr<HttpExchange> exchange;
    EndHandler onEnd;
    Timer retryTimer;
    Timer deadlineTimer;
    std::shared_ptr<Claim> claim; ///< Claim of a call that is not idempotent; null when there is none.
    std::shared_ptr<HttpCall> call;
    BackendServer server; ///< Backend server of the current attempt.
    std::set<std::string> failedServers; ///< Ids of the servers whose attempt at this call failed.
    int attempts = 0; ///< Number of attempts started so far.
    Execution execution = Execution::NotRun;
    bool isClaimed = false; ///< Whether the claim was granted to this run.
    bool isReleasing = false; ///< Whether the refusal is deferred until the release of the claim was attempted.
    bool hasEnded = false;
};

} // namespace Primrosefork
