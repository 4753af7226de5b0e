#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string_view>

namespace Primrosefork::Measure {

/**
 * The size of a deployment and the work that its callers send.
 */
struct Deployment {
    const char* name = "";
    std::size_t engines = 0;
    std::size_t plainServices = 0;
    std::size_t zones = 3;
    std::size_t prompts = 5; ///< Different instructions that open the prompts, one for each workspace.
    double turnsPerSecond = 0; ///< Short requests: turns of conversations.
    int turnsPerConversation = 1;
    std::size_t longBurst = 0; ///< Long requests that come at once at the start.
    double longPerSecond = 0; ///< Long requests that come all the time.
};

/** Returns the deployment called \a name ("jadeleaf" or "companera"), or nothing. */
[[nodiscard]] auto findDeployment(std::string_view name) -> std::optional<Deployment>;

} // namespace Primrosefork::Measure
