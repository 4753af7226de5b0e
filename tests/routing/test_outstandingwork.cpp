#include "outstandingwork.h"

#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

constexpr OutstandingWork::TimePoint start { 1h };

auto makeServer(const char* id) -> BackendServer
{
    BackendServer server;
    server.id = id;
    return server;
}

auto makeRequest(std::uint64_t id, WorkClass workClass = WorkClass::Short) -> RoutingRequest
{
    RoutingRequest request;
    request.id = id;
    request.workClass = workClass;
    request.promptTokens = 400;
    request.expectedTokens = 50;
    return request;
}

enum class Step {
    Sent,
    FirstPiece,
    TenTokens,
    SixtyTokens, ///< More than the expected 50.
    Ended,
};

struct StepCase {
    const char* name;
    std::vector<Step> steps;
    std::int64_t requests;
    std::int64_t prefillTokens;
    std::int64_t decodeTokens;
};

const StepCase stepCases[] = {
    { "nothing sent", {}, 0, 0, 0 },
    { "sent", { Step::Sent }, 1, 400, 50 },
    { "prompt computed", { Step::Sent, Step::FirstPiece }, 1, 0, 50 },
    { "some tokens received", { Step::Sent, Step::FirstPiece, Step::TenTokens }, 1, 0, 40 },
    { "more tokens than expected", { Step::Sent, Step::FirstPiece, Step::SixtyTokens }, 1, 0, 0 },
    { "ended", { Step::Sent, Step::FirstPiece, Step::TenTokens, Step::Ended }, 0, 0, 0 },
    { "failed before the first piece", { Step::Sent, Step::Ended }, 0, 0, 0 },
    { "end of a request that is not open", { Step::Ended }, 0, 0, 0 },
};

TEST_CASE("outstanding work follows the progress of a request")
{
    for (const auto& row : stepCases) {
        CAPTURE(std::string(row.name));
        OutstandingWork work;
        const auto server = makeServer("e1");
        const auto request = makeRequest(1);
        for (const auto step : row.steps) {
            if (step == Step::Sent)
                work.sent(request, server, start);
            else if (step == Step::FirstPiece)
                work.firstPieceReceived(1, start + 100ms);
            else if (step == Step::Ended)
                work.ended(1, start + 1s);
            else
                work.pieceReceived(1, step == Step::TenTokens ? 10 : 60, start + 200ms);
        }
        const auto load = work.loadOf(server);
        CHECK(load.ownRequests == row.requests);
        CHECK(load.ownPrefillTokens == row.prefillTokens);
        CHECK(load.decodeTokens == row.decodeTokens);
    }
}

struct ReportCase {
    const char* name;
    int ownBefore; ///< Number of own requests sent well before the time that the report describes.
    int ownSince; ///< Number of own requests sent after that time.
    std::int64_t reported; ///< Running requests in the report.
    std::int64_t others; ///< Expected estimate of the requests of other nodes.
};

const ReportCase reportCases[] = {
    { "only own work", 3, 0, 3, 0 },
    { "work of other nodes too", 3, 0, 5, 2 },
    { "own work sent since is not subtracted", 0, 4, 2, 2 },
    { "own work that ended since", 3, 0, 1, 0 },
    { "idle server", 0, 0, 0, 0 },
};

TEST_CASE("a late report is compared with the node's own work at the time it describes")
{
    for (const auto& row : reportCases) {
        CAPTURE(std::string(row.name));
        OutstandingWork work;
        const auto server = makeServer("e1");
        std::uint64_t id = 1;
        for (int sent = 0; sent < row.ownBefore; ++sent)
            work.sent(makeRequest(id++), server, start);
        work.reported({ { "e1", { 0, 0, 0, start } } }, start);
        for (int sent = 0; sent < row.ownSince; ++sent)
            work.sent(makeRequest(id++), server, start + 1900ms);

        work.reported({ { "e1", { row.reported, 0, 0, start + 2s } } }, start + 2s);

        CHECK(work.loadOf(server).ownRequests == row.ownBefore + row.ownSince);
        CHECK(work.loadOf(server).otherRequests == row.others);
    }
}

TEST_CASE("a server without a report is assumed to have no work of other nodes")
{
    OutstandingWork work;
    const auto server = makeServer("e1");
    work.sent(makeRequest(1), server, start);
    work.reported({ { "e1", { 9, 0, 0, start } } }, start);
    REQUIRE(work.loadOf(server).otherRequests == 9);

    work.reported({}, start + 1s);

    CHECK(work.loadOf(server).otherRequests == 0);
    CHECK(work.loadOf(server).ownRequests == 1);
}

TEST_CASE("long requests are counted separately")
{
    OutstandingWork work;
    const auto server = makeServer("e1");
    work.sent(makeRequest(1, WorkClass::Long), server, start);
    work.sent(makeRequest(2), server, start);
    CHECK(work.loadOf(server).ownLongRequests == 1);
    CHECK(work.openLongRequests() == 1);
    work.ended(1, start + 1s);
    CHECK(work.loadOf(server).ownLongRequests == 0);
    CHECK(work.openLongRequests() == 0);
}

} // namespace
