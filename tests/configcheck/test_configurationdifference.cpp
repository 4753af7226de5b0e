#include "configurationdifference.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

auto makeConfiguration() -> TrafficConfiguration
{
    TrafficConfiguration configuration;
    configuration.version = 4;
    for (const auto* name : { "read", "write" }) {
        TrafficRoute route;
        route.name = name;
        route.prefix = std::string("/") + name + "/";
        route.shares = { { "app", 1 } };
        configuration.routes.push_back(route);
    }
    configuration.services["app"].name = "app";
    configuration.workspaces = { { "salon", { "secret1", "secret2" }, {}, {} } };
    return configuration;
}

struct DifferenceCase {
    const char* name;
    void (*edit)(TrafficConfiguration&);
    std::vector<ConfigurationDifference> expected;
};

const DifferenceCase differenceCases[] = {
    { "nothing", [](auto&) {}, {} },
    { "the order of routes", [](auto& next) { std::swap(next.routes[0], next.routes[1]); }, {} },
    { "the order of credentials", [](auto& next) { std::swap(next.workspaces[0].credentials[0], next.workspaces[0].credentials[1]); }, {} },
    { "the version", [](auto& next) { next.version = 5; }, { { "version", "", "4", "5" } } },
    { "a timeout", [](auto& next) { next.routes[1].timeout = 3s; }, { { "route write", "timeout", "0 ms", "3000 ms" } } },
    { "a weight", [](auto& next) { next.routes[0].shares[0].weight = 0.25; }, { { "route read", "services", "app 1", "app 0.25" } } },
    { "an engine that is added", [](auto& next) { next.services["app"].engine.emplace(); },
        { { "service app", "slots", "", "1" }, { "service app", "tokens in the KV cache", "", "0" }, { "service app", "tokens per event", "", "1" }, { "service app", "moves runs", "", "no" } } },
    { "a service that is removed", [](auto& next) { next.services.clear(); }, { { "service app", "", "connections 0", "" } } },
    { "a service that is added", [](auto& next) { next.services["new"].name = "new"; }, { { "service new", "", "", "connections 0" } } },
    { "credentials, which are secret", [](auto& next) { next.workspaces[0].credentials = { "secret2", "secret3", "secret4" }; }, { { "workspace salon", "credentials", "1 removed", "2 added" } } },
    { "a priority that is removed", [](auto& next) { next.workspaces[0].priority = 2; }, { { "workspace salon", "priority", "", "2" } } },
    { "a limit", [](auto& next) { next.limits.bodyBytes = 1; }, { { "limits", "body bytes", "4194304", "1" } } },
};

// Guards against a change that an operator did not mean to send, and against secrets in the output.
TEST_CASE("each difference is named with its values, credentials by their number")
{
    for (const auto& row : differenceCases) {
        CAPTURE(row.name);
        auto next = makeConfiguration();
        row.edit(next);
        CHECK(differencesOf(makeConfiguration(), next) == row.expected);
    }
}

// Guards against a second entry of a name that hides the first one.
TEST_CASE("entries with one name are compared one by one")
{
    auto current = makeConfiguration();
    current.routes[1].name = "read";
    auto next = current;
    next.routes[1].timeout = 1s;
    CHECK(differencesOf(current, next) == std::vector<ConfigurationDifference> { { "route read (2)", "timeout", "0 ms", "1000 ms" } });
}

} // namespace
