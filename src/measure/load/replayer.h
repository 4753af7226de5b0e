#pragma once

#include "address.h"
#include "eventloop.h"
#include "httpclient.h"
#include "trace.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Primrosefork::Measure {

/**
 * Result of one request of a trace.
 */
struct Outcome {
    std::chrono::milliseconds at { 0 }; ///< Scheduled time of the request after the start of the trace.
    bool isLong = false;
    bool isWhole = false; ///< Whether the answer was received to its end.
    bool isCutOff = false; ///< Whether the connection was closed before the answer was complete.
    int status = 0; ///< HTTP status of the answer, or 0 as long as none was received.
    std::optional<std::chrono::microseconds> firstPiece; ///< Time from sending the request to the first piece of the answer.
    std::chrono::microseconds longestStall { 0 }; ///< Longest time between two pieces of the answer.
    std::chrono::microseconds duration { 0 }; ///< Time from sending the request to the end of the answer or of the replay.
    std::int64_t tokens = 0;
};

/**
 * Sends the requests of a trace to nodes at their scheduled times, regardless of
 * the outcome of earlier requests, and records when the answers arrive.
 */
class Replayer {
public:
    /** Creates a replayer that sends the requests to \a nodes in turn, as a load balancer in front of them does. */
    Replayer(std::vector<Address> nodes, std::string credential);
    ~Replayer();

    /** Calls \a task when the time \a at has passed since the start of the next replay. */
    auto addTask(std::chrono::milliseconds at, std::function<void()> task) -> void;

    /**
     * Replays \a trace and returns the outcome of each request. Returns when all
     * short requests have ended, or \a drainTimeout after the last request was sent.
     */
    auto replay(const Trace& trace, std::chrono::milliseconds drainTimeout) -> std::vector<Outcome>;

    [[nodiscard]] auto eventLoop() -> EventLoop& { return this->loop; }
    [[nodiscard]] auto httpClient() -> HttpClient& { return this->client; }

private:
    struct RequestState;

    auto sendDue() -> void;
    auto send(std::size_t index) -> void;
    auto recordPiece(RequestState&, std::string_view piece) -> void;
    auto finishRequest(RequestState&, std::error_code) -> void;
    auto finishWhenDone() -> void;

    EventLoop loop;
    HttpClient client;
    std::vector<Address> nodes;
    std::string credential;
    Timer sendTimer;
    Timer drainTimer;
    std::vector<std::unique_ptr<Timer>> taskTimers;
    std::vector<std::pair<std::chrono::milliseconds, std::function<void()>>> tasks;
    const Trace* trace = nullptr;
    std::size_t next = 0; ///< Index of the request to send next.
    std::size_t openShortRequests = 0; ///< Number of short requests in flight.
    std::chrono::milliseconds drainTimeout { 0 };
    EventLoop::TimePoint start;
    std::vector<std::unique_ptr<RequestState>> requests;
};

} // namespace Primrosefork::Measure
