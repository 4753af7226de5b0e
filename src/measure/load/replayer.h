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
 * What became of one request of a trace.
 */
struct Outcome {
    std::chrono::milliseconds at { 0 };
    bool isLong = false;
    bool isWhole = false;
    bool isCutOff = false; ///< The connection ended before the answer did.
    int status = 0; ///< 0 while there is no answer.
    std::optional<std::chrono::microseconds> firstPiece; ///< From the sending.
    std::chrono::microseconds longestStall { 0 }; ///< Between two pieces.
    std::chrono::microseconds duration { 0 }; ///< To the end of the answer, or to the end of the replay.
    std::int64_t tokens = 0;
};

/**
 * Sends the requests of a trace to nodes at their moments, whatever became of
 * the ones before, and notes when the answers come.
 */
class Replayer {
public:
    /** Sends the requests to \a nodes in turn, as a balancer in front of them does. */
    Replayer(std::vector<Address> nodes, std::string credential);
    ~Replayer();

    /** Calls \a task at \a at after the start of the next replay. */
    auto addTask(std::chrono::milliseconds at, std::function<void()> task) -> void;

    /**
     * Replays \a trace. Returns when all short requests are answered, or
     * \a drainLimit after the last request was sent.
     */
    auto replay(const Trace& trace, std::chrono::milliseconds drainLimit) -> std::vector<Outcome>;

    [[nodiscard]] auto eventLoop() -> EventLoop& { return this->loop; }
    [[nodiscard]] auto httpClient() -> HttpClient& { return this->client; }

private:
    struct Open;

    auto sendDue() -> void;
    auto send(std::size_t index) -> void;
    auto received(Open&, std::string_view piece) -> void;
    auto ended(Open&, std::error_code) -> void;
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
    std::size_t next = 0;
    std::size_t openShort = 0;
    std::chrono::milliseconds drainLimit { 0 };
    EventLoop::TimePoint start;
    std::vector<std::unique_ptr<Open>> requests;
};

} // namespace Primrosefork::Measure
