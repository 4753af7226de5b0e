#pragma once

#include <chrono>
#include <map>
#include <set>
#include <string>

namespace Primrosefork {

/**
 * Tracks the backend servers at which streams of this node stalled, so that other
 * streams avoid them. After a while one stream may try the server again.
 */
class StalledServers {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** Records that a stream on server \a id received no piece within its stall timeout. */
    auto recordStall(const std::string& id, TimePoint now) -> void;

    /** Records that a stream is sent to server \a id; if the server stalled, others avoid it for another period or until a piece arrives from it. */
    auto recordAttempt(const std::string& id, TimePoint now) -> void;

    /** Records that a piece arrived from server \a id, which ends its avoidance. */
    auto recordActivity(const std::string& id) -> void;

    /** Returns whether a stall of server \a id was detected after \a moment and no piece has arrived from it since. */
    [[nodiscard]] auto hasStalledSince(const std::string& id, TimePoint moment) const -> bool;

    /** Returns whether new streams avoid server \a id at \a now. */
    [[nodiscard]] auto isAvoided(const std::string& id, TimePoint now) const -> bool;

    /** Adds the servers that new streams avoid at \a now to \a ids. */
    auto addAvoided(std::set<std::string>& ids, TimePoint now) const -> void;

private:
    struct Stall {
        TimePoint detected;
        TimePoint avoidUntil;
    };

    std::map<std::string, Stall> stalls; ///< Detected stalls by server id.
};

} // namespace Primrosefork
