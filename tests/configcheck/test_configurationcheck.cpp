#include "configurationcheck.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

/** Returns a configuration without anything to find. */
auto makeConfiguration() -> TrafficConfiguration
{
    TrafficConfiguration configuration;
    TrafficRoute route;
    route.name = "read";
    route.host = "api.example";
    route.prefix = "/read/";
    route.timeout = 2s;
    route.objective = 500ms;
    route.shares = { { "app", 1 }, { "llm", 3 } };
    configuration.routes = { route };
    configuration.services["app"].name = "app";
    auto& engines = configuration.services["llm"];
    engines.name = "llm";
    engines.scaling.emplace();
    engines.scaling->minEngines = 1;
    engines.scaling->maxEngines = 4;
    engines.scaling->zonePrices = { { "a", 1 } };
    TrafficWorkspace workspace;
    workspace.name = "salon";
    workspace.credentials = { "k1" };
    workspace.quota = { 1'000, 500, true, 200 };
    configuration.workspaces = { workspace };
    return configuration;
}

/** Adds a copy of the first route with the name \a name. */
auto addRoute(TrafficConfiguration& configuration, const std::string& name) -> TrafficRoute&
{
    auto route = configuration.routes.front();
    route.name = name;
    return configuration.routes.emplace_back(std::move(route));
}

struct CheckCase {
    const char* name;
    void (*edit)(TrafficConfiguration&);
    std::vector<std::string> errors; ///< Places of the errors.
    std::vector<std::string> warnings; ///< Places of the warnings.
};

const CheckCase checkCases[] = {
    { "nothing to find", [](auto&) {}, {}, {} },
    { "a later route with an equal host and prefix", [](auto& next) { addRoute(next, "new"); }, {}, { "route read" } },
    { "two later ones", [](auto& next) { addRoute(next, "new"), addRoute(next, "newer"); }, {}, { "route read", "route new" } },
    { "an equal prefix of another host", [](auto& next) { addRoute(next, "new").host = "www.example"; }, {}, {} },
    { "a longer prefix", [](auto& next) { addRoute(next, "new").prefix = "/read/all/"; }, {}, {} },
    { "two routes of one name", [](auto& next) { addRoute(next, "read").prefix = "/write/"; }, {}, { "route read" } },
    { "a prefix that does not end with a slash", [](auto& next) { next.routes[0].prefix = "/read"; }, {}, { "route read" } },
    { "a prefix that does not begin with a slash", [](auto& next) { next.routes[0].prefix = "read/"; }, {}, { "route read" } },
    { "an empty prefix", [](auto& next) { next.routes[0].prefix = ""; }, {}, { "route read" } },
    { "a host in capitals", [](auto& next) { next.routes[0].host = "API.example"; }, {}, { "route read" } },
    { "a host with a port", [](auto& next) { next.routes[0].host = "api.example:80"; }, {}, { "route read" } },
    { "one weight is 0", [](auto& next) { next.routes[0].shares[1].weight = 0; }, {}, { "route read" } },
    { "all weights are 0", [](auto& next) { next.routes[0].shares[0].weight = next.routes[0].shares[1].weight = 0; }, { "route read" }, {} },
    { "the weight 0 of an only service", [](auto& next) { next.routes[0].shares = { { "app", 0 } }; }, {}, { "service llm" } },
    { "a service that is named twice", [](auto& next) { next.routes[0].shares.push_back({ "app", 1 }); }, {}, { "route read" } },
    { "a service that is not configured", [](auto& next) { next.routes[0].shares[0].service = "gone"; }, { "route read" }, { "service app" } },
    { "a service that no route names", [](auto& next) { next.services["spare"].name = "spare"; }, {}, { "service spare" } },
    { "an objective above the timeout", [](auto& next) { next.routes[0].objective = 2'001ms; }, { "route read" }, {} },
    { "an objective equal to the timeout", [](auto& next) { next.routes[0].objective = 2s; }, {}, {} },
    { "an objective without a timeout", [](auto& next) { next.routes[0].timeout = 0ms; }, {}, {} },
    { "an event gap above the timeout", [](auto& next) { next.routes[0].maxEventGap = 3s; }, { "route read" }, {} },
    { "a call that can be resumed", [](auto& next) { next.routes[0].isResumable = true; }, {}, { "route read" } },
    { "a minimum of engines above the maximum", [](auto& next) { next.services["llm"].scaling->minEngines = 5; }, { "service llm" }, {} },
    { "a maximum of no engines", [](auto& next) { next.services["llm"].scaling->minEngines = next.services["llm"].scaling->maxEngines = 0; }, {}, { "service llm" } },
    { "no zone has a price", [](auto& next) { next.services["llm"].scaling->zonePrices.clear(); }, {}, { "service llm" } },
    { "a burst below one request, in tokens", [](auto& next) { next.workspaces[0].quota.burst = 199; }, { "workspace salon" }, {} },
    { "a burst of one request, in tokens", [](auto& next) { next.workspaces[0].quota.burst = 200; }, {}, {} },
    { "a burst below one request", [](auto& next) { next.workspaces[0].quota = { 5, 0.5, false, 200 }; }, { "workspace salon" }, {} },
    { "a burst without a rate", [](auto& next) { next.workspaces[0].quota = { 0, 5, false, 200 }; }, {}, { "workspace salon" } },
    { "two workspaces with one credential", [](auto& next) { next.workspaces.push_back({ "kiosk", { "k1" }, {}, {} }); }, { "workspace kiosk" }, {} },
    { "two workspaces with one name", [](auto& next) { next.workspaces.push_back({ "salon", { "k2" }, {}, {} }); }, { "workspace salon" }, {} },
    { "a workspace without credentials", [](auto& next) { next.workspaces[0].credentials.clear(); }, {}, { "workspace salon" } },
    { "workspaces, but only public routes", [](auto& next) { next.routes[0].isPublic = true; }, {}, { "" } },
    { "a header time above the idle time", [](auto& next) { next.limits.idleTimeout = 2s; }, { "limits" }, {} },
    { "no body is allowed", [](auto& next) { next.limits.bodyBytes = 0; }, {}, { "limits" } },
    { "no routes and no services", [](auto& next) { next = {}; }, {}, {} },
};

auto placesOf(const Findings& findings) -> std::vector<std::string>
{
    std::vector<std::string> places;
    for (const auto& finding : findings)
        places.push_back(finding.place);
    return places;
}

// Guards against a configuration that is sent and refuses requests, or has an entry without effect.
TEST_CASE("errors and entries without effect are found, and nothing else")
{
    for (const auto& row : checkCases) {
        CAPTURE(row.name);
        auto configuration = makeConfiguration();
        row.edit(configuration);
        const auto result = checkConfiguration(configuration);
        INFO(formatFindings(result.errors), formatFindings(result.warnings));
        CHECK(placesOf(result.errors) == row.errors);
        CHECK(placesOf(result.warnings) == row.warnings);
    }
}

} // namespace
