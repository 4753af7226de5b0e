#pragma once

#include "units.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Primrosefork::Measure {

/** What a call asks for. */
enum class CallKind : std::uint8_t {
    Once, ///< May run once at most.
    Read, ///< May be repeated.
    Stream,
};

/** What the caller saw of a call when it ended. */
struct CallEnd {
    int status = 0; ///< 0 when no answer began.
    bool isComplete = false; ///< Whether the answer looks complete.
    std::string body;
    std::string expectedBody; ///< Body of a whole answer of this request.
};

/** Promises of the nodes that a run checks. */
enum class Promise : std::uint8_t {
    RunsOnce,
    RefusalIsTrue,
    AnswerIsOwn,
    StreamEndIsTrue,
    StopCutsNothing,
    LeftGetsNothing,
    LeavingGetsNothing,
    PauseIsKept,
    ChangeIsInForce,
    ChangeStays,
    RevocationIsKept,
    Recovers,
    ServesInCalm,
    RunsOn,
    DoesNotGrow,
};

/** What a node process uses. */
struct ResourceUse {
    std::size_t residentBytes = 0;
    std::size_t descriptors = 0;
    std::size_t threads = 0;
};

/** The limits that the promises name. */
struct PromiseBounds {
    std::chrono::milliseconds drain { 2'000 };
    std::chrono::milliseconds configuration { 2'000 };
    std::chrono::milliseconds revocation { 5'000 };
    std::chrono::milliseconds recovery { 6'000 }; ///< Until all nodes serve everything after the last fault.
    std::chrono::milliseconds pauseContact { 500 }; ///< Requests may still arrive for so long after a server asked for a pause.
    std::chrono::milliseconds stopGrace { 8'000 };
    int requestsInPause = 2; ///< From one node, after the contact time.
    ResourceUse growth { 48 * mebibyte, 64, 0 }; ///< Allowed over a process's first sample.
};

/** The outcome of one check. */
struct PromiseResult {
    const char* statement = "";
    std::int64_t evaluations = 0;
    std::vector<std::string> violations;
};

/**
 * Checks what callers, servers and the store saw against the promises.
 *
 * Times are those since the start of the run. A disturbance of a node, or of the
 * store, moves the start of a bound to the end of the disturbance where the
 * promise does not cover it.
 */
class PromiseLedger {
public:
    using Time = std::chrono::milliseconds;
    using Server = std::string;

    explicit PromiseLedger(const PromiseBounds&);

    auto requestSent(const std::string& request, CallKind, std::size_t node, Time) -> void;
    auto requestArrived(const Server&, const std::string& request, Time) -> void;
    auto requestRan(const Server&, const std::string& request, Time) -> void;

    /** The server did not answer \a request as it should, so the node could not either. */
    auto requestHarmed(const std::string& request) -> void { this->harmed.insert(request); }
    auto callEnded(const std::string& request, const CallEnd&, Time) -> void;

    /** The registration of the server was withdrawn, or says that it leaves. */
    auto serverLeft(const Server&, Time) -> void;

    /** The server said in its answer to \a request that it leaves. */
    auto leavingSaid(const Server&, const std::string& request, Time) -> void;
    auto pauseAsked(const Server&, const std::string& request, Time pause, Time) -> void;

    /** The server was registered again with a newer start time. */
    auto serverReturned(const Server&) -> void;

    auto stopRequested(std::size_t node, Time) -> void;

    /** The process of the node ended after the stop was requested. */
    auto nodeStopped(std::size_t node, int exitCode, Time) -> void;

    /** The process of the node ended although nobody asked it to. */
    auto nodeDied(std::size_t node, int exitCode, Time) -> void;

    /** From now on each call has to be answered, until calmEnded(). */
    auto calmBegan(Time now) -> void { this->calmSince = now; }
    auto calmEnded() -> void { this->calmSince.reset(); }

    /** The process of the node is killed. */
    auto nodeKilled(std::size_t node) -> void;

    /** A new process of the node started. */
    auto nodeStarted(std::size_t node) -> void;

    auto disturbanceBegan(const std::string& what, Time) -> void;
    auto disturbanceEnded(const std::string& what, Time) -> void;

    /** The configuration with \a version was written, which has a credential of its own and withdraws that of the version before. */
    auto configurationWritten(int version, Time) -> void;

    /** The \a node took or refused the credential of \a version in a request sent at \a sentAt. */
    auto credentialTried(std::size_t node, int version, bool isTaken, Time sentAt) -> void;

    /** All nodes served everything \a time after the last fault, or did not within that time. */
    auto recovered(bool areAllServing, Time time) -> void;
    auto resourcesMeasured(std::size_t node, int process, const ResourceUse&) -> void;

    /** Returns the checks, in the order of the promises. */
    [[nodiscard]] auto results() const -> const std::vector<PromiseResult>& { return this->checks; }
    [[nodiscard]] auto longestRecovery() const -> Time { return this->longest; }

    /** Called with the statement of the promise and what was seen, for each violation. */
    std::function<void(const std::string& statement, const std::string& seen)> violated;

    [[nodiscard]] static auto nodeName(std::size_t node) -> std::string { return "node-" + std::to_string(node); }
    static constexpr auto store = "store"; ///< Name of the disturbances of the store.

private:
    struct Call {
        CallKind kind = CallKind::Read;
        std::size_t node = 0;
        Time sentAt { 0 };
        int runs = 0;
        bool isRefused = false;
    };

    struct Disturbance {
        Time begin { 0 };
        std::optional<Time> end;
    };

    struct Pause {
        Time begin { 0 };
        Time end { 0 };
        int requests = 0; ///< Requests after the contact time.
    };

    auto evaluate(Promise, bool holds, const std::function<std::string()>& seen) -> void;

    /** Returns when a bound that began at \a begin starts to count at \a now, or nothing during a disturbance of \a who. */
    [[nodiscard]] auto effectiveStart(const std::vector<std::string>& who, Time begin, Time now) const -> std::optional<Time>;
    auto checkDeparture(Promise, const Server&, const Call&, Time leftAt, Time now) -> void;
    auto checkPause(const Server&, const Call&, Time now) -> void;
    auto checkStop(const std::string& request, const Call&, const CallEnd&, Time now) -> void;

    PromiseBounds bounds;
    std::vector<PromiseResult> checks;
    std::map<std::string, Call> calls;
    std::set<std::string> harmed;
    std::map<std::string, std::vector<Disturbance>> disturbances;
    std::map<Server, Time> departures;
    std::map<std::pair<Server, std::size_t>, Time> announcements; ///< When the server told the node that it leaves.
    std::map<std::pair<Server, std::size_t>, Pause> pauses;
    std::map<std::size_t, Time> stops; ///< Planned stops under way.
    std::map<int, Time> versions; ///< When each configuration was written.
    std::map<std::size_t, int> taken; ///< Newest version whose credential each process has taken.
    std::map<int, ResourceUse> firstUse; ///< By process.
    std::optional<Time> calmSince;
    Time longest { 0 };
};

} // namespace Primrosefork::Measure
