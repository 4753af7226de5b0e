#pragma once

#include "address.h"
#include "finding.h"
#include "intakesettings.h"
#include "overflowpolicy.h"
#include "units.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Primrosefork {

/**
 * The time limits and amounts that operators set for the gateway.
 */
struct GatewayBounds {
    std::chrono::milliseconds drain { 2'000 }; ///< Time within which nodes stop sending requests to a backend server that is leaving.
    std::chrono::milliseconds stopGrace { 8'000 }; ///< Time between the stop signal and forced termination.
    std::chrono::milliseconds configuration { 2'000 }; ///< Time within which a change of the configuration applies on every node.
    std::chrono::milliseconds revocation { 5'000 }; ///< Time within which every node refuses a revoked credential.
    std::chrono::milliseconds leadership { 3'000 }; ///< Duration of the leader's lease.
    std::chrono::nanoseconds usageWindow { std::chrono::seconds(5) }; ///< Length of an accounting window; windows are numbered from 1970, so a rounded length would shift them all.
    std::chrono::milliseconds usageDue { 10'000 }; ///< Time after the end of an accounting window by which its usage must be reported.
    std::chrono::milliseconds attemptWindow { 10'000 }; ///< Length of the window over which second attempts are limited.
    double attemptRatio = 0.2; ///< Second attempts per request, over all nodes.
    double attemptSlack = 50; ///< Second attempts allowed beyond that in one window, over all nodes.
    std::chrono::milliseconds quotaWindow { 8'000 }; ///< Length of the window over which quotas are enforced.
    double quotaExcess = 0.1; ///< Fraction by which a workspace may exceed its quota in a window.
    double quotaSlack = 0; ///< Tokens allowed beyond that in one window, over all nodes.
    std::optional<double> exposureShare; ///< Part of a service's requests that a bad version may get before it is rolled back; without it, roll-outs are disabled.
    double exposureSlack = 0; ///< Requests that it may get beyond that.
    std::chrono::milliseconds rollback { 5'000 }; ///< Time after which a version that has shown to be bad must get no more requests.
    std::chrono::milliseconds heartbeat { 1'200 }; ///< Period at which servers renew their registration; after three without one it is removed.
};

/** What a node does with requests that no server can start at once. */
struct AdmissionSettings {
    bool enabled = false; ///< Whether they wait until a server has room or are refused at once; otherwise they are sent all the same.
};

/**
 * The settings file of a gateway node.
 */
struct GatewaySettings {
    std::string id;
    std::string zone;
    std::string region;
    std::size_t memory = 256 * mebibyte; ///< Bytes of memory that the node may use.
    double processorShare = 1; ///< Processor cores that the node may use; larger nodes take on more of the fleet's work.
    Address callers; ///< Address for callers' requests.
    Address readiness; ///< Address for the load balancer's readiness check.
    Address peers; ///< UDP address for messages between nodes.
    Address operators; ///< Address for metrics and the state dump.
    Address keyValueService;
    Address fleetApi; ///< Address of the fleet API; port 0 when the platform has none.
    GatewayBounds bounds;
    bool sharesLoad = false; ///< Whether nodes share the load that they put on backend servers.
    AdmissionSettings admission;
    IntakeSettings intake;
    std::optional<ZoneCosts> zones; ///< Costs of other zones; requests leave their zone by the leader's decision only when this is set.
    std::string logLevel = "info";
};

/** Returns whether the settings in \a text are those of a gateway node. */
[[nodiscard]] auto isGatewaySettings(std::string_view text) -> bool;

/**
 * Returns the gateway settings in the JSON \a text and adds each error in it to
 * \a findings. The result is valid only when no finding was added.
 */
[[nodiscard]] auto parseGatewaySettings(std::string_view text, Findings& findings) -> GatewaySettings;

/**
 * Returns those of the \a settings that are meant to be the same on all nodes, by
 * their names in the settings file; durations are in milliseconds.
 */
[[nodiscard]] auto sharedSettings(const GatewaySettings& settings) -> nlohmann::json;

/** Returns a digest of the shared \a settings, which is the same for files that mean the same. */
[[nodiscard]] auto settingsDigest(const GatewaySettings& settings) -> std::uint64_t;

/** Returns \a digest as operators see it: 16 lower-case hexadecimal digits. */
[[nodiscard]] auto digestText(std::uint64_t digest) -> std::string;

/** Returns the paths of the fields in which \a next differs from \a current although they hold for the life of a process. */
[[nodiscard]] auto fixedDifferences(const GatewaySettings& current, const GatewaySettings& next) -> std::vector<std::string>;

} // namespace Primrosefork
