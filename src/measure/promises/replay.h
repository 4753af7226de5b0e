#pragma once

#include "bookingcalls.h"
#include "cluster.h"
#include "streamcaller.h"
#include "trace.h"

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Primrosefork::Measure {

/** Result of checking one expectation of a trace. */
struct ReplayResult {
    std::string expectation;
    std::string figure; ///< Measured value.
    bool hasPassed = false;
    std::vector<std::string> details = {}; ///< Lines that help to explain a failure.
};

/**
 * Replays one trace against real processes and checks its expectations with the
 * records of all callers and the counters of the stand-ins.
 */
class Replay {
public:
    explicit Replay(const Trace&);
    ~Replay();
    Replay(const Replay&) = delete;
    auto operator=(const Replay&) -> Replay& = delete;

    /** Replays the trace and returns the results of all expectations. */
    auto run() -> std::vector<ReplayResult>;

private:
    struct Arrival {
        EventLoop::TimePoint at;
        bool isBooking = false;
        std::size_t node = 0;
        std::int64_t tokens = 0;
        std::int64_t promptTokens = 0;
    };

    auto perform(const TraceStep&) -> void;
    auto addArrivals(const TraceStep&) -> void;
    auto sendArrivals() -> void;
    auto startStream(const Arrival&) -> void;
    auto waitUntil(EventLoop::TimePoint) -> void;
    auto waitForAnswers() -> bool;
    auto process(const std::string& name) -> Testkit::Process&;
    auto address(const std::string& name) const -> Address;
    auto randomBetween(std::int64_t from, std::int64_t to) -> std::int64_t;
    auto check(const TraceExpectation&) -> ReplayResult;
    auto checkBookings(const TraceExpectation&) -> ReplayResult;
    auto checkIdle(const TraceExpectation&) -> ReplayResult;
    [[nodiscard]] auto recomputedTokens() -> std::int64_t;
    [[nodiscard]] auto describeLongestStall() const -> std::vector<std::string>;
    [[nodiscard]] auto timeOf(EventLoop::TimePoint) const -> std::string;

    const Trace& trace;
    Testkit::ClusterOptions options;
    Testkit::Cluster cluster;
    BookingCalls bookings;
    std::vector<std::unique_ptr<Testkit::StreamCaller>> callers;
    std::vector<Arrival> arrivals; ///< Requests still to be sent, ordered by time from the latest to the earliest.
    std::map<std::string, std::int64_t> samples; ///< Number of started streams by stand-in, as recorded by the step "sample".
    EventLoop::TimePoint startedAt; ///< Time from which the times of the trace are counted.
    std::mt19937_64 random;
    std::chrono::milliseconds idleLimit { 10'000 };
};

} // namespace Primrosefork::Measure
