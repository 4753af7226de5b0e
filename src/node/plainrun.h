#pragma once

#include "backendserver.h"
#include "callerrequest.h"
#include "claimkeeper.h"
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
 * Passes a call on to a plain service. A call that is not idempotent is claimed
 * first, and sent again only when no byte of it can have reached a service.
 */
class PlainRun : public RequestRun {
public:
    PlainRun(const RequestContext&, CallerRequest, std::shared_ptr<HttpExchange>, EndHandler);
    ~PlainRun() override;

    auto begin() -> void override;
    auto callerGone() -> void override;
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto takeClaim() -> void;
    auto claimDecided(const ClaimAnswer&) -> void;
    auto run() -> void;
    auto attempt() -> void;
    auto attemptEnded(const PlainResult&) -> void;
    auto giveUp(std::error_code) -> void;
    auto answer(const HttpResponse&) -> void;
    auto replay(const KeptAnswer&) -> void;
    auto release(const Refusal&) -> void;
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
    std::shared_ptr<Claim> claim; ///< Of a call that is not idempotent.
    std::shared_ptr<HttpCall> call;
    BackendServer server; ///< Of the present attempt.
    std::set<std::string> failedServers;
    int attempts = 0;
    Execution execution = Execution::NotRun;
    bool isClaimed = false; ///< The claim is held by this run.
    bool isReleasing = false; ///< The answer waits for the claim's release.
    bool hasEnded = false;
};

} // namespace Primrosefork
