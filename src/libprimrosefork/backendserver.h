#pragma once

#include "address.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Primrosefork {

/** The kind of software that runs on a backend server. */
enum class BackendKind {
    Engine,
    Plain,
};

/** State of an instance according to the instance list. */
enum class InstanceState {
    Live,
    Leaving,
};

/**
 * A backend server with its attributes from the instance list.
 */
struct BackendServer {
    std::string id;
    Address address;
    BackendKind kind = BackendKind::Engine;
    InstanceState state = InstanceState::Live;
    std::string zone;
    std::string region;
    std::string pool;
    std::string model;
    std::string version;
    std::string machineClass;
    std::int64_t pricePerHour = 0; ///< Price of the instance per hour, in millionths of the currency unit.
    std::int64_t slots = 8; ///< Number of requests that the engine processes in one batch.
    bool isReclaimable = true;
    bool checksFencing = false; ///< Whether the server refuses orders with an older fencing number than it has received.
    std::optional<std::chrono::milliseconds> leavesIn; ///< Time left until the server stops; set only when it is registered as leaving.
    std::int64_t startedAt = 0; ///< Start time in milliseconds since 1970, 0 when unknown; changes when a server restarts under the same id.

    auto operator==(const BackendServer&) const -> bool = default;
};

/** The backend servers that a node knows, keyed by id. */
using BackendServers = std::map<std::string, BackendServer>;

/**
 * The load that a backend server last reported.
 */
struct LoadReport {
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t waitingTokens = 0; ///< Number of prompt tokens that the server has not computed yet.
    std::chrono::steady_clock::time_point received;
};

/** Load reports, keyed by the id of the backend server. */
using LoadReports = std::map<std::string, LoadReport>;

/** The load that a backend server reported in an answer. */
struct ObservedLoad {
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t slots = 0;
    std::int64_t slownessPercent = 100; ///< Slowness of the server's machine when it answered, in percent: 100 is normal, more is slower.
};

/**
 * The announcement that an instance will be reclaimed.
 */
struct ReclaimNotice {
    std::string instanceId;
    std::chrono::steady_clock::time_point deadline;

    auto operator==(const ReclaimNotice&) const -> bool = default;
};

/** Reclaim notices, keyed by the id of the instance. */
using ReclaimNotices = std::map<std::string, ReclaimNotice>;

} // namespace Primrosefork
