#include "streampartition.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace Primrosefork;

namespace {

struct KindCase {
    const char* name;
    std::int64_t promptTokens;
    std::int64_t answerTokens;
    bool isLongStream;
};

const KindCase kindCases[] = {
    { "a long explanation of a long prompt", 9'190, 68, false },
    { "a short summary", 2'368, 24, false },
    { "a long chat after a short prompt", 715, 280, true },
    { "a long chat after a long prompt", 9'190, 280, false },
    { "a request without token counts", 0, 0, false },
};

TEST_CASE("a stream is long when its answer has at least a tenth of the tokens of its prompt")
{
    for (const auto& row : kindCases) {
        CAPTURE(row.name);
        RoutingRequest request;
        request.promptTokens = row.promptTokens;
        request.expectedTokens = row.answerTokens;
        CHECK(isLongStream(request) == row.isLongStream);
    }
}

struct CountCase {
    const char* name;
    std::int64_t openStreams;
    std::int64_t slots;
    std::int64_t engines;
    std::int64_t count;
};

const CountCase countCases[] = {
    { "no long streams", 0, 64, 50, 0 },
    { "few long streams", 5, 64, 50, 0 },
    { "enough for one engine", 20, 64, 50, 1 },
    { "enough for eight engines", 250, 64, 50, 8 },
    { "at most half of the engines", 2'000, 64, 20, 10 },
    { "no reserved engines among only a few", 100, 64, 3, 0 },
};

TEST_CASE("engines are reserved by the number of slots that long streams take")
{
    for (const auto& row : countCases) {
        CAPTURE(row.name);
        StreamPartition partition;
        std::int64_t count = 0;
        for (int report = 0; report < 100; ++report)
            count = partition.update(row.openStreams, row.slots, row.engines);
        CHECK(count == row.count);
    }
}

TEST_CASE("small changes in the number of streams do not change the number of reserved engines")
{
    StreamPartition partition;
    for (int report = 0; report < 100; ++report)
        static_cast<void>(partition.update(120, 64, 50));
    const auto settled = partition.update(120, 64, 50);
    for (int report = 0; report < 200; ++report)
        CHECK(partition.update(report % 2 == 0 ? 112 : 128, 64, 50) == settled);
}

TEST_CASE("nodes that know the same engines reserve the same ones, and one more leaves the others reserved")
{
    std::vector<BackendServer> servers(20);
    std::vector<const BackendServer*> pointers;
    for (std::size_t index = 0; index < servers.size(); ++index) {
        servers[index].id = "i-" + std::to_string(index);
        pointers.push_back(&servers[index]);
    }
    const auto three = streamEnginesAmong(pointers, 3);
    CHECK(three.size() == 3);
    std::vector<const BackendServer*> reversed(pointers.rbegin(), pointers.rend());
    CHECK(streamEnginesAmong(reversed, 3) == three);
    const auto four = streamEnginesAmong(pointers, 4);
    CHECK(std::includes(four.begin(), four.end(), three.begin(), three.end()));
}

TEST_CASE("no engines are reserved in plain services")
{
    BackendServer plain;
    plain.kind = BackendKind::Plain;
    const std::vector<const BackendServer*> pointers { &plain };
    CHECK(streamEnginesAmong(pointers, 1).empty());
}

} // namespace
