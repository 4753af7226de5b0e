#pragma once

#include "address.h"
#include "finding.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace Primrosefork {

/**
 * The times and amounts that operators hold the gateway to.
 */
struct GatewayBounds {
    std::chrono::milliseconds drain { 2'000 }; ///< For a backend server that is leaving to get no more requests.
    std::chrono::milliseconds stopGrace { 8'000 }; ///< Between the stop signal and the end by force.
    std::chrono::milliseconds configuration { 2'000 }; ///< For a change to be in force everywhere.
    std::chrono::milliseconds revocation { 5'000 }; ///< For a credential that was taken away to be refused everywhere.
    std::chrono::milliseconds leadership { 3'000 }; ///< Lease of the node that has the fleet's duties.
    std::chrono::milliseconds usageWindow { 5'000 };
    std::chrono::milliseconds usageDue { 10'000 }; ///< After the end of a window.
    std::chrono::milliseconds attemptWindow { 10'000 };
    double attemptRatio = 0.2; ///< Second attempts for each request, of all nodes.
    double attemptSlack = 50; ///< Second attempts beyond that, of all nodes in one window.
    std::chrono::milliseconds quotaWindow { 8'000 };
    double quotaExcess = 0.1; ///< Part of a workspace's quota that may be exceeded in a window.
    double quotaSlack = 0; ///< Tokens beyond that, of all nodes in one window.
};

/**
 * What a gateway node reads from its settings file.
 */
struct GatewaySettings {
    std::string id;
    std::string zone;
    std::string region;
    Address callers;
    Address readiness;
    Address peers; ///< UDP.
    Address operators; ///< Metrics and the state dump.
    Address keyValueService;
    Address fleetApi; ///< Port 0 when the platform has none.
    GatewayBounds bounds;
    std::string logLevel = "info";
};

/** Returns whether the settings in \a text are those of a gateway node. */
[[nodiscard]] auto isGatewaySettings(std::string_view text) -> bool;

/**
 * Reads gateway settings from the JSON \a text and adds to \a findings everything
 * that is wrong with it. The result is of use only when nothing was added.
 */
[[nodiscard]] auto parseGatewaySettings(std::string_view text, Findings& findings) -> GatewaySettings;

} // namespace Primrosefork
