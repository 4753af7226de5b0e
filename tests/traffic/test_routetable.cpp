#include "routetable.h"

#include <doctest/doctest.h>

using namespace Primrosefork;

namespace {

auto makeRoute(const std::string& name, const std::string& host, const std::string& prefix) -> TrafficRoute
{
    TrafficRoute route;
    route.name = name;
    route.host = host;
    route.prefix = prefix;
    route.shares = { { "engines", 1 } };
    return route;
}

auto makeTable() -> RouteTable
{
    TrafficConfiguration configuration;
    configuration.routes = { makeRoute("root", "a.example", "/"), makeRoute("chat", "a.example", "/chat/"), makeRoute("deep", "a.example", "/chat/deep/"),
        makeRoute("other", "b.example", "/x/") };
    configuration.workspaces = { { "salon", { "key-1", "key-2" }, {}, {} }, { "tours", { "key-3" }, {}, {} } };
    return RouteTable(std::move(configuration));
}

struct RouteCase {
    const char* name;
    const char* host;
    const char* path;
    const char* route; ///< Name of the expected route; empty if none matches.
};

const RouteCase routeCases[] = {
    { "the longest prefix", "a.example", "/chat/deep/er", "deep" },
    { "a shorter prefix", "a.example", "/chat/else", "chat" },
    { "a path without the final slash of a prefix", "a.example", "/chat", "root" },
    { "a path equal to a prefix", "a.example", "/chat/", "chat" },
    { "a path segment that begins like a prefix", "a.example", "/chatter/x", "root" },
    { "no matching prefix of the host", "b.example", "/y/", "" },
    { "an unknown host", "c.example", "/chat/", "" },
    { "an empty path", "a.example", "", "" },
};

TEST_CASE("a route is found by host and longest prefix")
{
    const auto table = makeTable();
    for (const auto& row : routeCases) {
        CAPTURE(row.name);
        const auto* route = table.route(row.host, row.path);
        CHECK((route ? route->name : "") == row.route);
    }
}

TEST_CASE("a credential belongs to one workspace")
{
    const auto table = makeTable();
    REQUIRE(table.workspaceOf("key-2") != nullptr);
    CHECK(table.workspaceOf("key-2")->name == "salon");
    CHECK(table.workspaceOf("key-3")->name == "tours");
    CHECK(table.workspaceOf("key-4") == nullptr);
    CHECK(table.workspaceOf("") == nullptr);
}

struct ShareCase {
    const char* name;
    double point;
    const char* service;
};

const ShareCase shareCases[] = {
    { "lowest point", 0.0, "old" },
    { "within the first share", 0.89, "old" },
    { "within the second share", 0.91, "new" },
    { "highest point", 0.999, "new" },
    { "one, which is not a valid point", 1.0, "new" },
};

TEST_CASE("a route with several services chooses them by weight")
{
    auto route = makeRoute("split", "a.example", "/");
    route.shares = { { "old", 90 }, { "new", 10 }, { "none", 0 } };
    for (const auto& row : shareCases) {
        CAPTURE(row.name);
        if (row.point < 1)
            CHECK(serviceFor(route, row.point) == row.service);
    }
}

} // namespace
