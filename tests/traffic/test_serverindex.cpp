#include "serverindex.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

using namespace Primrosefork;

namespace {

/** Servers with ids s0, s1 and so on. */
struct Servers {
    explicit Servers(std::size_t count)
        : list(count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            this->list[index].id = "s" + std::to_string(index);
            this->pointers.push_back(&this->list[index]);
        }
    }

    std::vector<BackendServer> list;
    std::vector<const BackendServer*> pointers;
};

auto contains(const std::vector<const BackendServer*>& servers, const std::string& id) -> bool
{
    return std::any_of(servers.begin(), servers.end(), [&id](const auto* server) { return server->id == id; });
}

struct SizeCase {
    const char* name;
    std::size_t servers;
    std::size_t minCandidates;
    std::size_t maxCandidates;
};

const SizeCase sizeCases[] = {
    { "no server", 0, 0, 0 },
    { "a dozen", 12, 12, 12 },
    { "the most that are looked at", ServerIndex::maxCandidates, ServerIndex::maxCandidates, ServerIndex::maxCandidates },
    { "hundreds", 256, 40, ServerIndex::maxCandidates },
    { "thousands", 3'000, 40, ServerIndex::maxCandidates },
};

TEST_CASE("the number of candidates is limited, and none comes twice")
{
    std::minstd_rand random(1);
    for (const auto& row : sizeCases) {
        CAPTURE(row.name);
        const Servers servers(row.servers);
        const ServerIndex index(servers.pointers);
        for (std::uint64_t prefix = 0; prefix < 50; ++prefix) {
            auto candidates = index.candidates(prefix, false, random);
            CHECK(candidates.size() >= row.minCandidates);
            CHECK(candidates.size() <= row.maxCandidates);
            std::sort(candidates.begin(), candidates.end());
            CHECK(std::adjacent_find(candidates.begin(), candidates.end()) == candidates.end());
        }
    }
}

TEST_CASE("every node finds the same home of a prefix among the candidates, and homes are spread evenly")
{
    const Servers servers(3'000);
    const ServerIndex index(servers.pointers);
    std::minstd_rand first(1);
    std::minstd_rand second(2);
    std::map<std::string, int> load;
    for (std::uint64_t prefix = 1; prefix <= 30'000; ++prefix) {
        const auto* home = index.candidates(prefix * 0x9E3779B97F4A7C15, false, first).front();
        if (prefix <= 100)
            CHECK(index.candidates(prefix * 0x9E3779B97F4A7C15, false, second).front() == home);
        ++load[home->id];
    }
    CHECK(load.size() > 2'950);
    for (const auto& [id, count] : load)
        CHECK(count <= 40);
}

TEST_CASE("a long stream finds the few engines that are reserved for long streams")
{
    const Servers servers(3'000);
    ServerIndex index(servers.pointers);
    index.setStreamEngines({ "s7", "s1900", "s2500" });
    std::minstd_rand random(1);
    for (std::uint64_t prefix = 0; prefix < 50; ++prefix) {
        const auto candidates = index.candidates(prefix, true, random);
        CHECK(contains(candidates, "s7"));
        CHECK(contains(candidates, "s1900"));
        CHECK(contains(candidates, "s2500"));
    }
}

// Guards against a sample without the home in the zone that a prompt overflows to.
TEST_CASE("the home is one of the wanted zone when it has servers")
{
    Servers servers(400);
    for (std::size_t index = 0; index < 20; ++index)
        servers.list[index * 20].zone = "b";
    const ServerIndex index(servers.pointers);
    std::minstd_rand first(1);
    std::minstd_rand second(2);
    for (std::uint64_t prefix = 1; prefix <= 50; ++prefix) {
        const auto* home = index.candidates(prefix, false, first, "b").front();
        CHECK(home->zone == "b");
        CHECK(index.candidates(prefix, false, second, "b").front() == home);
        CHECK(index.candidates(prefix, false, first, "z").front() == index.candidates(prefix, false, second).front());
    }
}

} // namespace
