#pragma once

#include "admissionpolicy.h"
#include "callerrequest.h"
#include "eventloop.h"
#include "requestcontext.h"
#include "requestrun.h"
#include "silentservers.h"
#include "statesource.h"

#include <cstdint>
#include <map>
#include <memory>

namespace Primrosefork {

class HttpExchange;

/**
 * Takes callers' requests, has them admitted and runs them.
 */
class RequestController : public StateSource {
public:
    RequestController(const RequestContext&, AdmissionPolicy&);
    ~RequestController() override;

    /** Takes the request of \a exchange and answers it sooner or later. */
    auto handle(const std::shared_ptr<HttpExchange>& exchange) -> void;

    /** Tells the runs that the reclaim notices were replaced. */
    auto reclaimNoticed() -> void;

    /** Hands back what is not finished, because the node is about to end. */
    auto leave() -> void;

    /** Returns how many requests wait or run. */
    [[nodiscard]] auto openCount() const -> std::size_t { return this->waiting.size() + this->runs.size(); }

    [[nodiscard]] auto stateName() const -> std::string override { return "requests"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    struct WaitingRequest {
        CallerRequest request;
        std::shared_ptr<HttpExchange> exchange;
    };

    auto submit(CallerRequest, const std::shared_ptr<HttpExchange>&) -> void;
    auto advance() -> void;
    auto start(WaitingRequest) -> void;
    auto refuse(const std::shared_ptr<HttpExchange>&, const Refusal&) -> void;
    auto callerGone(std::uint64_t id) -> void;
    auto runEnded(std::uint64_t id, std::int64_t tokens) -> void;

    RequestContext context;
    AdmissionPolicy& admission;
    SilentServers silentServers;
    Timer admissionTimer;
    std::uint64_t nextId = 1;
    std::map<std::uint64_t, WaitingRequest> waiting;
    std::map<std::uint64_t, std::unique_ptr<RequestRun>> runs;
};

} // namespace Primrosefork
