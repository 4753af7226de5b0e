#pragma once

#include "backendserver.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Primrosefork {

/** Why a registered server gets no requests from this node. */
enum class UnavailableReason {
    Leaving, ///< The server stated in an answer that it leaves.
    Paused, ///< The server asked for a pause in an answer.
    AddressTaken, ///< Another server answered at its address.
};

/** Returns the name of \a reason for the log and the state dump. */
[[nodiscard]] auto nameOf(UnavailableReason reason) -> std::string_view;

/**
 * The servers that get no requests although they are registered as live, by
 * what their own answers stated.
 *
 * A statement holds for one start of a server: one that is registered with
 * another start time is available again. A pause that is not positive is ignored,
 * and one longer than maxPause is cut to that, so that no answer excludes a
 * server for good.
 */
class ServerAvailability {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    static constexpr std::chrono::milliseconds maxPause { 600'000 };
    static constexpr std::chrono::milliseconds addressTakenTime { 1'000 }; ///< Time until the registry shows which server is at the address.
    static constexpr std::chrono::milliseconds retentionTime { 60'000 }; ///< Time for which a statement is kept without a registration, which may lapse and come back while the server runs.

    /** One server that gets no requests. */
    struct Entry {
        std::string id;
        UnavailableReason reason = UnavailableReason::Leaving;
        std::optional<TimePoint> until; ///< Empty when the server gets none until it is registered with another start time.
    };

    /** Records that \a server stated that it leaves. Returns whether that was new. */
    auto leavingReported(const BackendServer& server, TimePoint now) -> bool;

    /** Records that \a server wants no requests for \a duration; an earlier pause is not shortened. Returns whether its end was moved noticeably. */
    auto pauseRequested(const BackendServer& server, std::chrono::milliseconds duration, TimePoint now) -> bool;

    /** Records that another server answered at the address of the server \a id. Returns whether that was new. */
    auto addressTaken(const std::string& id, TimePoint now) -> bool;

    [[nodiscard]] auto isAvailable(const BackendServer& server, TimePoint now) const -> bool;

    /** Returns whether \a server itself stated that it leaves, and the time since then. */
    [[nodiscard]] auto leavingFor(const BackendServer& server, TimePoint now) const -> std::optional<std::chrono::milliseconds>;

    /** Returns whether a run may continue from its copy at \a server: it is not paused, and has not been leaving for \a drain or longer. */
    [[nodiscard]] auto mayResumeCopy(const BackendServer& server, std::chrono::milliseconds drain, TimePoint now) const -> bool;

    /** Returns the time until which a server takes no requests for another reason than its statements, if any. */
    using BusyUntil = std::function<std::optional<TimePoint>(const BackendServer&)>;

    /** Returns the time at which the first of \a servers takes requests again when all that do not leave are paused or busy, otherwise nothing. */
    [[nodiscard]] auto nextAvailable(std::span<const BackendServer* const> servers, TimePoint now, const BusyUntil& busyUntil = {}) const -> std::optional<TimePoint>;

    /** Discards what was stated by servers that are not in \a servers any more or were started anew. */
    auto retain(const BackendServers& servers, TimePoint now) -> void;

    /** Returns the servers that get no requests, ordered by id. */
    [[nodiscard]] auto entries(TimePoint now) const -> std::vector<Entry>;

    /** Returns the number of servers of which a statement is kept. */
    [[nodiscard]] auto size() const -> std::size_t { return this->states.size(); }

private:
    struct State {
        std::int64_t startedAt = 0; ///< Start time of the server that made the statements.
        std::optional<TimePoint> leavingSince;
        TimePoint pausedUntil;
        TimePoint takenUntil;
        std::optional<TimePoint> absentSince; ///< Time at which the registration was first found missing.
    };

    /** Returns the state to which a statement of the server is added, or null when it was restarted since. */
    auto stateFor(const BackendServer&) -> State*;
    [[nodiscard]] auto find(const BackendServer&) const -> const State*;

    std::map<std::string, State> states; ///< By id of the server.
};

} // namespace Primrosefork
