#pragma once

#include "admissionpolicy.h"
#include "callerrequest.h"
#include "eventloop.h"
#include "requestcontext.h"
#include "requestrun.h"
#include "stalledservers.h"
#include "statesource.h"

#include <cstdint>
#include <map>
#include <memory>

namespace Primrosefork {

class HttpExchange;

/**
 * Accepts callers' requests, submits them to the admission policy and runs the
 * admitted ones.
 */
class RequestController : public StateSource {
public:
    RequestController(const RequestContext&, AdmissionPolicy&);
    ~RequestController() override;

    /** Accepts the request of \a exchange and answers it, at once or asynchronously. */
    auto handle(const std::shared_ptr<HttpExchange>& exchange) -> void;

    /** Informs the runs that the reclaim notices were replaced. */
    auto reclaimNoticesChanged() -> void;

    /** Refuses the waiting requests and hands unfinished answers back, because the node is about to stop. */
    auto handBackRequests() -> void;

    /** Returns the number of requests that wait for admission or run. */
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
    auto callerDisconnected(std::uint64_t id) -> void;
    auto runEnded(std::uint64_t id, std::int64_t tokens) -> void;

    RequestContext context;
    AdmissionPolicy& admission;
    StalledServers silentServers;
    Timer admissionTimer;
    std::uint64_t nextId = 1;
    bool isLeaving = false; ///< Whether requests were handed back because the node is about to stop.
    std::map<std::uint64_t, WaitingRequest> waiting; ///< Requests that wait for admission, by id.
    std::map<std::uint64_t, std::unique_ptr<RequestRun>> runs; ///< Admitted requests, by id.
};

} // namespace Primrosefork
