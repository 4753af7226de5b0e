#pragma once

#include <chrono>
#include <string>

namespace Primrosefork {

/** An operator's request to move the traffic of a service to servers of one version. */
struct RolloutOrder {
    std::string service;
    std::string version; ///< Version that is to get all requests.
    std::chrono::milliseconds duration { 0 }; ///< Time from the order to its deadline.

    auto operator==(const RolloutOrder&) const -> bool = default;
};

/** State of a roll-out as operators see it. */
enum class RolloutState {
    Running,
    Completed, ///< All requests go to the new version; the servers of other versions may stop at once.
    RolledBack, ///< The new version gets no requests.
};

/** The published state of a service's roll-out. */
struct RolloutStatus {
    std::string service;
    std::string version; ///< Version that the order names.
    RolloutState state = RolloutState::Running;

    auto operator==(const RolloutStatus&) const -> bool = default;
};

} // namespace Primrosefork
