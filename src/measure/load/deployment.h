#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string_view>

namespace Primrosefork::Measure {

/**
 * Describes the size of a deployment and the load that its callers generate.
 */
struct Deployment {
    const char* name = "";
    std::size_t engines = 0;
    std::size_t plainServices = 0;
    std::size_t zones = 3;
    std::size_t prompts = 5; ///< Number of distinct instruction texts that prompts begin with, one for each workspace.
    double turnsPerSecond = 0; ///< Rate of the short requests, which are turns of conversations.
    int turnsPerConversation = 1;
    std::size_t longBurst = 0; ///< Number of long requests sent in a burst right after the warm-up.
    double longPerSecond = 0; ///< Rate of the long requests sent throughout the trace after the warm-up.
};

/** Returns the deployment called \a name ("jadeleaf" or "companera"), or no value when there is none. */
[[nodiscard]] auto findDeployment(std::string_view name) -> std::optional<Deployment>;

} // namespace Primrosefork::Measure
