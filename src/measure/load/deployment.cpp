#include "deployment.h"

#include <array>

namespace Primrosefork::Measure {

namespace {

constexpr std::array deployments {
    Deployment { .name = "jadeleaf", .engines = 12, .plainServices = 3, .turnsPerSecond = 24, .turnsPerConversation = 6, .longBurst = 110, .longPerSecond = 2 },
    Deployment { .name = "companera", .engines = 20, .plainServices = 3, .turnsPerSecond = 40, .turnsPerConversation = 4, .longBurst = 60, .longPerSecond = 12 },
};

} // namespace

auto findDeployment(std::string_view name) -> std::optional<Deployment>
{
    for (const auto& deployment : deployments) {
        if (name == deployment.name)
            return deployment;
    }
    return std::nullopt;
}

} // namespace Primrosefork::Measure
