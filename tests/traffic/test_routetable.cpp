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
    const char* route; ///< Empty when none matches.
};

const RouteCase routeCases[] = {
    { "the longest prefix", "a.example", "/chat/deep/er", "deep" },
    { "a shorter prefix", "a.example", "/chat/else", "chat" },
    { "a prefix ends at a slash", "a.example", "/chat", "root" },
    { "a prefix itself", "a.example", "/chat/", "chat" },
    { "similar first letters are no prefix", "a.example", "/chatter/x", "root" },
    { "no prefix of the host", "b.example", "/y/", "" },
    { "another host", "c.example", "/chat/", "" },
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
    { "start", 0.0, "old" },
    { "within the first share", 0.89, "old" },
    { "within the second share", 0.91, "new" },
    { "end", 0.999, "new" },
    { "one itself", 1.0, "new" },
};

TEST_CASE("a split route sends by weight")
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
