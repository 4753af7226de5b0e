#include "cacheawarepolicy.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <string>
#include <vector>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

using TimePoint = RoutingPolicy::TimePoint;

constexpr TimePoint start = TimePoint {} + 1h;

class Pool {
public:
    Pool(int count, BackendKind kind)
    {
        for (int index = 0; index < count; ++index) {
            BackendServer server;
            server.id = "s" + std::to_string(index);
            server.kind = kind;
            server.pool = "pool";
            server.zone = "a";
            server.slots = kind == BackendKind::Plain ? 6 : 64;
            this->servers.push_back(server);
        }
        for (const auto& server : this->servers)
            this->pointers.push_back(&server);
    }

    std::vector<BackendServer> servers;
    std::vector<const BackendServer*> pointers;
};

auto makeRequest(std::uint64_t id, std::span<const PromptPart> parts) -> RoutingRequest
{
    RoutingRequest request;
    request.id = id;
    request.zone = "a";
    request.promptParts = parts;
    for (const auto& part : parts)
        request.promptTokens += part.tokens;
    return request;
}

TEST_CASE("every node sends the requests of a session to the same engine")
{
    const Pool pool(12, BackendKind::Engine);
    for (std::uint64_t session = 1; session <= 50; ++session) {
        const std::vector<PromptPart> parts { { 1, 2'500 }, { 1'000 + session, 3'800 }, { 5'000 + session, 2'900 } };
        CacheAwarePolicy first(1);
        CacheAwarePolicy second(2);
        const auto* home = first.choose(makeRequest(1, parts), pool.pointers, start);
        REQUIRE(home != nullptr);
        CHECK(second.choose(makeRequest(1, parts), pool.pointers, start) == home);
    }
}

TEST_CASE("a home server whose load costs more than its cache saves is passed over")
{
    const Pool pool(4, BackendKind::Engine);
    CacheAwarePolicy policy(1);
    const std::vector<PromptPart> parts { { 1, 300 }, { 2, 200 }, { 3, 1'800 } };
    std::map<std::string, int> chosen;
    for (std::uint64_t id = 1; id <= 40; ++id) {
        const auto request = makeRequest(id, parts);
        const auto* server = policy.choose(request, pool.pointers, start);
        REQUIRE(server != nullptr);
        policy.requestSent(request, *server, start);
        ++chosen[server->id];
    }
    CHECK(chosen.size() == 4);
    for (const auto& [id, count] : chosen)
        CHECK(count >= 5);
}

TEST_CASE("a plain server that is loaded by other nodes is passed over")
{
    const Pool pool(2, BackendKind::Plain);
    CacheAwarePolicy policy(1);
    policy.loadObserved(pool.servers[0], { 6, 10, 6, 100 }, start);
    policy.loadObserved(pool.servers[1], { 1, 0, 6, 100 }, start);
    for (std::uint64_t id = 1; id <= 5; ++id)
        CHECK(policy.choose(makeRequest(id, {}), pool.pointers, start + 10ms) == &pool.servers[1]);
}

TEST_CASE("an expired load observation is ignored")
{
    const Pool pool(2, BackendKind::Plain);
    CacheAwarePolicy policy(1);
    policy.loadObserved(pool.servers[0], { 6, 10, 6, 100 }, start);
    std::map<const BackendServer*, int> chosen;
    for (std::uint64_t id = 1; id <= 50; ++id)
        ++chosen[policy.choose(makeRequest(id, {}), pool.pointers, start + 10s)];
    CHECK(chosen[&pool.servers[0]] > 5);
}

TEST_CASE("a failed server is avoided while there are others, and used when it is the only candidate")
{
    const Pool pool(2, BackendKind::Plain);
    CacheAwarePolicy policy(1);
    const auto request = makeRequest(1, {});
    policy.requestSent(request, pool.servers[0], start);
    policy.requestEnded(request, pool.servers[0], AttemptEnd::Failed, start);
    CHECK(policy.choose(makeRequest(2, {}), pool.pointers, start + 10ms) == &pool.servers[1]);
    const std::vector<const BackendServer*> alone { &pool.servers[0] };
    CHECK(policy.choose(makeRequest(3, {}), alone, start + 10ms) == &pool.servers[0]);
}

TEST_CASE("no server is chosen without candidates")
{
    CacheAwarePolicy policy(1);
    CHECK(policy.choose(makeRequest(1, {}), std::vector<const BackendServer*> {}, start) == nullptr);
}

struct PartitionCase {
    const char* name;
    std::int64_t promptTokens;
    std::int64_t answerTokens;
    bool isOnStreamEngine;
};

const PartitionCase partitionCases[] = {
    { "a long stream", 600, 280, true },
    { "a long prompt", 9'000, 60, false },
};

TEST_CASE("long streams go to the stream engines and long prompts to the other engines")
{
    const Pool pool(12, BackendKind::Engine);
    for (const auto& row : partitionCases) {
        CAPTURE(row.name);
        CacheAwarePolicy policy(1);
        policy.setStreamEngines({ "s3", "s7" });
        for (std::uint64_t id = 1; id <= 40; ++id) {
            const std::vector<PromptPart> parts { { id, row.promptTokens } };
            auto request = makeRequest(id, parts);
            request.expectedTokens = row.answerTokens;
            const auto* server = policy.choose(request, pool.pointers, start);
            REQUIRE(server != nullptr);
            CHECK((server->id == "s3" || server->id == "s7") == row.isOnStreamEngine);
        }
    }
}

struct ErrorCase {
    const char* name;
    std::vector<AttemptEnd> ends; ///< Outcomes of successive requests at one server.
    bool isAvoided;
};

const ErrorCase errorCases[] = {
    { "one error", { AttemptEnd::ServerError }, false },
    { "two errors in a row", { AttemptEnd::ServerError, AttemptEnd::ServerError }, true },
    { "two errors with a success between them", { AttemptEnd::ServerError, AttemptEnd::Finished, AttemptEnd::ServerError }, false },
    { "a success after two errors", { AttemptEnd::ServerError, AttemptEnd::ServerError, AttemptEnd::Finished }, false },
};

TEST_CASE("a server is avoided after two consecutive errors")
{
    for (const auto& row : errorCases) {
        CAPTURE(row.name);
        const Pool pool(2, BackendKind::Plain);
        CacheAwarePolicy policy(1);
        std::uint64_t id = 0;
        for (const auto end : row.ends) {
            const auto request = makeRequest(++id, {});
            policy.requestSent(request, pool.servers[0], start);
            policy.requestEnded(request, pool.servers[0], end, start);
        }
        int sent = 0;
        for (int count = 0; count < 100; ++count)
            sent += policy.choose(makeRequest(++id, {}), pool.pointers, start + 1ms)->id == "s0" ? 1 : 0;
        CHECK((sent == 0) == row.isAvoided);
    }
}

TEST_CASE("a server that was removed is forgotten once no request runs there")
{
    const Pool pool(3, BackendKind::Engine);
    CacheAwarePolicy policy(1);
    const std::vector<PromptPart> parts { { 1, 300 } };
    const auto request = makeRequest(1, parts);
    policy.requestSent(request, pool.servers[0], start);
    policy.loadObserved(pool.servers[1], { 1, 0, 64 }, start);
    CHECK(policy.knownServers() == 2);
    policy.serverRemoved("s0");
    policy.serverRemoved("s1");
    CHECK(policy.knownServers() == 1);
    policy.requestEnded(request, pool.servers[0], AttemptEnd::Finished, start + 1s);
    CHECK(policy.knownServers() == 0);
}

/** Load of the other nodes as a test states it. */
class StatedLoads : public OtherLoadSource {
public:
    [[nodiscard]] auto othersAt(const BackendServer& server, TimePoint) const -> std::optional<OtherLoad> override
    {
        const auto found = this->loads.find(server.id);
        return found == this->loads.end() ? std::nullopt : std::optional(found->second);
    }

    std::map<std::string, OtherLoad> loads;
};

/** What is known of two engines, of which the first one answered with 20 running requests at the start. */
struct OthersCase {
    const char* name;
    OtherLoad atFirst;
    OtherLoad atSecond;
    int chosen;
};

const OthersCase othersCases[] = {
    { "the report is newer than the answer", { 0, 0, 0, 1, start + 100ms }, { 10, 0, 0, 1, start + 100ms }, 0 },
    { "the report is older than the answer", { 0, 0, 0, 1, start - 100ms }, { 10, 0, 0, 1, start - 100ms }, 1 },
    { "the report has lost its weight", { 0, 0, 0, 0, start + 100ms }, { 10, 0, 0, 0, start + 100ms }, 1 },
    { "prompts that are yet to be prefilled", { 0, 5'000, 0, 1, start + 100ms }, { 20, 0, 0, 1, start + 100ms }, 1 },
};

// Guards against an answer of seconds ago that outweighs what the other nodes report now, and the reverse.
TEST_CASE("the newer of an engine's answer and the other nodes' reports decides")
{
    const Pool pool(2, BackendKind::Engine);
    for (const auto& row : othersCases) {
        CAPTURE(row.name);
        StatedLoads stated;
        stated.loads = { { "s0", row.atFirst }, { "s1", row.atSecond } };
        CacheAwarePolicy policy(1);
        policy.setOtherLoads(&stated);
        policy.loadObserved(pool.servers[0], { 20, 0, 64, 100 }, start);
        CHECK(policy.choose(makeRequest(1, {}), pool.pointers, start + 200ms) == &pool.servers[static_cast<std::size_t>(row.chosen)]);
    }
}

// Guards against a burst of one prompt at all nodes, which all send to its home until the next answers tell them how busy it is.
TEST_CASE("a node leaves room at a prompt's home for what the other nodes send there")
{
    const Pool pool(2, BackendKind::Engine);
    const std::vector<PromptPart> parts { { 1, 1'500 }, { 2, 500 } };
    int chosen[] = { 0, 0 }; // without and with 76 requests of the other nodes for each own one
    for (const auto othersPerOwn : { 0.0, 76.0 }) {
        StatedLoads stated;
        stated.loads = { { "s0", { 20, 0, othersPerOwn, 1, start } }, { "s1", { 20, 0, othersPerOwn, 1, start } } };
        CacheAwarePolicy policy(1);
        const auto* home = policy.choose(makeRequest(1, parts), pool.pointers, start);
        policy.setOtherLoads(&stated);
        for (std::uint64_t id = 2; id < 102; ++id)
            chosen[othersPerOwn > 0 ? 1 : 0] += policy.choose(makeRequest(id, parts), pool.pointers, start + std::chrono::milliseconds(500) * id) == home ? 1 : 0;
    }
    CHECK(chosen[0] == 100);
    CHECK(chosen[1] < 60);
    CHECK(chosen[1] > 10);
}

TEST_CASE("a node reports the requests and tokens that it has open at each server")
{
    const Pool pool(2, BackendKind::Engine);
    CacheAwarePolicy policy(1);
    const std::vector<PromptPart> parts { { 1, 300 }, { 2, 200 } };
    policy.requestSent(makeRequest(1, parts), pool.servers[0], start);
    policy.requestSent(makeRequest(2, {}), pool.servers[0], start);
    policy.requestSent(makeRequest(3, {}), pool.servers[1], start);
    policy.requestEnded(makeRequest(3, {}), pool.servers[1], AttemptEnd::Finished, start);
    CHECK(policy.ownLoads() == std::vector<BackendLoad> { { loadKeyOf("s0"), 2, 500 } });
    policy.firstPieceReceived(makeRequest(1, parts), pool.servers[0], start);
    CHECK(policy.ownLoads() == std::vector<BackendLoad> { { loadKeyOf("s0"), 2, 0 } });
}

struct ZoneCase {
    const char* name;
    const char* overflowZone;
    double otherZoneTokens; ///< Configured cost.
    std::int64_t prompt; ///< Prompt tokens that the own zone's server has yet to prefill for other requests.
    const char* expected; ///< Zone of the chosen server.
};

const ZoneCase zoneCases[] = {
    { "idle", "", 0, 0, "a" },
    { "another zone costs 60 tokens without the setting", "", 0, 130, "b" },
    { "the configured cost when it is larger", "", 4'000, 2'000, "a" },
    { "the configured cost is no limit", "", 4'000, 20'000, "b" },
    { "a smaller configured cost changes nothing", "", 10, 0, "a" },
    { "a selected request pays nothing for the target zone", "b", 4'000, 130, "b" },
    { "a selected request pays for a third zone", "c", 4'000, 130, "a" },
};

// Guards against requests that leave their zone though the price is high, and against selected ones that stay.
TEST_CASE("another zone costs what is configured, but nothing for a request that overflows there")
{
    for (const auto& row : zoneCases) {
        CAPTURE(row.name);
        Pool pool(2, BackendKind::Engine);
        pool.servers[1].zone = "b";
        CacheAwarePolicy policy(1);
        const std::vector<PromptPart> other { { 77, row.prompt } };
        if (row.prompt > 0)
            policy.requestSent(makeRequest(1, other), pool.servers[0], start);
        const std::vector<PromptPart> none;
        auto request = makeRequest(2, none);
        request.promptTokens = 500;
        request.overflowZone = row.overflowZone;
        request.otherZoneTokens = row.otherZoneTokens;
        const auto* server = policy.choose(request, pool.pointers, start);
        REQUIRE(server != nullptr);
        CHECK(server->zone == row.expected);
    }
}

// Guards against prompts that overflow and are then spread over the servers of the other zone, none of which caches them.
TEST_CASE("prompts that overflow have their home in the target zone, the same on every node")
{
    Pool pool(12, BackendKind::Engine);
    for (std::size_t index = 6; index < 12; ++index)
        pool.servers[index].zone = "b";
    for (std::uint64_t session = 1; session <= 50; ++session) {
        const std::vector<PromptPart> parts { { 1, 2'500 }, { 1'000 + session, 3'800 }, { 5'000 + session, 2'900 } };
        CacheAwarePolicy first(1);
        CacheAwarePolicy second(2);
        auto request = makeRequest(1, parts);
        request.overflowZone = "b";
        const auto* home = first.choose(request, pool.pointers, start);
        REQUIRE(home != nullptr);
        CHECK(home->zone == "b");
        CHECK(second.choose(request, pool.pointers, start) == home);
    }
}

struct PartsCase {
    const char* name;
    std::size_t parts; ///< Of each prompt; none is shared.
    int requests; ///< In two seconds, so that nothing expires.
    std::size_t maxKept; ///< Most prefixes that may be kept for one server.
};

const PartsCase partsCases[] = {
    { "ordinary prompts", 4, 200, 800 },
    { "prompts of many parts", 3'000, 400, 16'384 + 3'000 },
    { "many ordinary prompts", 4, 10'000, 16'384 + 4 },
};

// Guards against prompts of thousands of parts, after which the work of each request grows with what is kept of the earlier ones.
TEST_CASE("what is kept of prompts is limited however many parts they have")
{
    for (const auto& row : partsCases) {
        CAPTURE(std::string(row.name));
        const Pool pool(1, BackendKind::Engine);
        CacheAwarePolicy policy(1);
        std::uint64_t nextPart = 1;
        std::size_t mostKept = 0;
        for (int number = 0; number < row.requests; ++number) {
            std::vector<PromptPart> parts;
            for (std::size_t part = 0; part < row.parts; ++part)
                parts.push_back({ nextPart++, 1 });
            const auto now = start + 2s * number / row.requests;
            policy.requestSent(makeRequest(1, parts), pool.servers.front(), now);
            policy.requestEnded(makeRequest(1, parts), pool.servers.front(), AttemptEnd::Finished, now);
            mostKept = std::max(mostKept, policy.cachedPrefixes("s0"));
        }
        CHECK(mostKept > 0);
        CHECK(mostKept <= row.maxKept);
    }
}

} // namespace
