#pragma once

#include "backendserver.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>
#include <vector>

namespace Primrosefork {

/**
 * Finds backend servers that work slower than their peers, from the times that
 * this node sees itself.
 *
 * Peers are servers of the same kind, model, version and machine class. A server
 * is slow when its smoothed time exceeds a multiple of the median of its peers.
 * At most a third of the peers are called slow, the slowest ones: when all slow
 * down at once, that is overload and nowhere else is better.
 */
class SlowdownDetector {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** \a duration passed between two tokens, or over a whole call of a plain service. */
    auto observe(const BackendServer&, std::chrono::microseconds duration, TimePoint now) -> void;

    /** An attempt at the server failed. */
    auto failed(const BackendServer&, TimePoint now) -> void;

    /** An attempt at the server succeeded. */
    auto succeeded(const BackendServer&) -> void;

    /** Returns how many times slower than its peers the server is; 1 when it is not called slow. */
    [[nodiscard]] auto slowness(const BackendServer&) const -> double;

    /** Returns whether the server failed lately and is to be avoided at \a now. */
    [[nodiscard]] auto isFailing(const BackendServer&, TimePoint now) const -> bool;

    /** Returns whether a slow server that shows no times may be given a request to see whether it recovered. */
    [[nodiscard]] auto isProbeDue(const BackendServer&, TimePoint now) const -> bool;

    /** The probe that was due was sent. */
    auto probeSent(const BackendServer&, TimePoint now) -> void;

private:
    struct Record {
        double smoothed = 0; ///< Microseconds.
        std::size_t samples = 0;
        double slowness = 1;
        TimePoint lastSample;
        TimePoint lastSeen; ///< With a time or a failure.
        TimePoint nextProbe;
        std::chrono::milliseconds probeInterval { 0 };
        int failures = 0; ///< One after the other.
        TimePoint avoidUntil;
        std::string group;
    };

    struct Group {
        std::vector<std::string> members;
        TimePoint nextReview;
    };

    auto recordOf(const BackendServer&, TimePoint now) -> Record&;
    auto review(Group&, TimePoint now) -> void;
    auto setSlowness(Record&, double slowness, TimePoint now) -> void;
    [[nodiscard]] auto find(const BackendServer&) const -> const Record*;

    std::unordered_map<std::string, Record> records;
    std::unordered_map<std::string, Group> groups;
};

} // namespace Primrosefork
