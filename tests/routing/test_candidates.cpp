#include "candidatecache.h"
#include "candidates.h"

#include <doctest/doctest.h>
#include <functional>

using namespace Primrosefork;

namespace {

using Ids = std::vector<std::string>;

auto makeEngine(const std::string& id) -> BackendServer
{
    BackendServer server;
    server.id = id;
    server.pool = "assistant";
    server.model = "m1";
    server.version = "1";
    return server;
}

auto makeService(const Ids& drained) -> ServiceRecord
{
    ServiceRecord service;
    service.workspace = "jadeleaf";
    service.name = "desk";
    service.parameters.models = { { "m1", "1" } };
    service.parameters.backendPools = { "assistant" };
    service.parameters.drainedBackends = drained;
    return service;
}

/** A blackboard with three engines, and writers for the sections that the candidates depend on. */
struct Board {
    Board()
        : configuration(this->blackboard.configuration.acquireWriter("Test"))
        , servers(this->blackboard.backendServers.acquireWriter("Test"))
        , notices(this->blackboard.reclaimNotices.acquireWriter("Test"))
        , peerNotices(this->blackboard.peerNotices.acquireWriter("Test"))
        , subset(this->blackboard.backendSubset.acquireWriter("Test"))
        , cache(this->blackboard)
    {
        this->servers.write({ { "e1", makeEngine("e1") }, { "e2", makeEngine("e2") }, { "e3", makeEngine("e3") } });
    }

    Blackboard blackboard;
    SectionWriter<Configuration> configuration;
    SectionWriter<BackendServers> servers;
    SectionWriter<ReclaimNotices> notices;
    SectionWriter<ReclaimNotices> peerNotices;
    SectionWriter<BackendSubsetIds> subset;
    CandidateCache cache;
};

struct CandidateCase {
    std::string name;
    std::function<void(Board&)> change;
    Ids candidates;
};

const CandidateCase candidateCases[] = {
    { "nothing changed", [](Board&) {}, { "e1", "e2", "e3" } },
    { "reclaim notice from the cloud", [](Board& board) { board.notices.write({ { "e1", { "e1", {} } } }); }, { "e2", "e3" } },
    { "reclaim notice from a peer", [](Board& board) { board.peerNotices.write({ { "e2", { "e2", {} } } }); }, { "e1", "e3" } },
    { "engine marked as leaving in the instance list",
        [](Board& board) {
            auto next = board.servers.value();
            next["e3"].state = InstanceState::Leaving;
            board.servers.write(next);
        },
        { "e1", "e2" } },
    { "engines drained after the request was received",
        [](Board& board) {
            Configuration next;
            next.services[{ "jadeleaf", "desk" }] = makeService({ "e1", "e2" });
            board.configuration.write(next);
        },
        { "e3" } },
    { "subset with one usable engine", [](Board& board) { board.subset.write({ "e2", "e9" }); }, { "e2" } },
    { "subset without a usable engine", [](Board& board) { board.subset.write({ "e9" }); }, { "e1", "e2", "e3" } },
    { "engine with another version", [](Board& board) {
         auto next = board.servers.value();
         next["e1"].version = "2";
         board.servers.write(next);
     },
        { "e2", "e3" } },
};

TEST_CASE("candidates follow changes of the blackboard")
{
    for (const auto& row : candidateCases) {
        CAPTURE(std::string(row.name));
        Board board;
        const auto service = makeService({});
        // Fills the cache before the change.
        CHECK(board.cache.find(service, RouteKind::Model).servers().size() == 3);

        row.change(board);

        Ids ids;
        for (const auto* server : board.cache.find(service, RouteKind::Model).servers())
            ids.push_back(server->id);
        CHECK(ids == row.candidates);
    }
}

} // namespace
