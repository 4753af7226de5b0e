#pragma once

#include "backendserver.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace Primrosefork {

/**
 * Detects backend servers that are slower than their peers, from the times that
 * this node measures itself.
 *
 * Peers are servers of the same kind, pool, model, version and machine class. A
 * server is slow when its smoothed time exceeds a multiple of the median of its
 * peers. At most a third of the peers, or one if there are fewer than three, are
 * marked as slow, the slowest ones: when all slow down at once, the cause is overload
 * and no other server is better.
 */
class SlowdownDetector {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** Records that \a duration passed between two tokens, or during a whole call of a plain service. */
    auto observe(const BackendServer&, std::chrono::microseconds duration, TimePoint now) -> void;

    /** Records that an attempt at the server failed. */
    auto failed(const BackendServer&, TimePoint now) -> void;

    /** Records that an attempt at the server succeeded. */
    auto succeeded(const BackendServer&) -> void;

    /** Returns how many times slower than its peers the server is; 1 when it is not marked as slow. */
    [[nodiscard]] auto slowness(const BackendServer&) const -> double;

    /** Returns whether the server failed recently and is to be avoided at \a now. */
    [[nodiscard]] auto isFailing(const BackendServer&, TimePoint now) const -> bool;

    /** Returns whether a slow server without recent times may be sent a request that probes whether it has recovered. */
    [[nodiscard]] auto isProbeDue(const BackendServer&, TimePoint now) const -> bool;

    /** Records that the probe that was due has been sent. */
    auto probeSent(const BackendServer&, TimePoint now) -> void;

private:
    struct Record {
        double smoothedTime = 0; ///< Smoothed time in microseconds.
        std::size_t samples = 0;
        double slowness = 1; ///< Smoothed time as a multiple of the median of the peers; 1 when the server is not slow.
        TimePoint lastSample;
        TimePoint lastActivity; ///< Moment of the last time or failure that was recorded.
        TimePoint nextProbe;
        std::chrono::milliseconds probeInterval { 0 };
        int consecutiveFailures = 0; ///< Number of failures since the last success.
        TimePoint avoidUntil;
        std::string group;
    };

    struct Group {
        std::vector<std::string> members;
        TimePoint nextEvaluation;
    };

    auto recordOf(const BackendServer&, TimePoint now) -> Record&;
    auto evaluate(Group&, TimePoint now) -> void;
    auto setSlowness(Record&, double slowness, TimePoint now) -> void;
    [[nodiscard]] auto find(const BackendServer&) const -> const Record*;

    std::unordered_map<std::string, Record> records;
    std::unordered_map<std::string, Group> groups;
};

} // namespace Primrosefork
