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

TEST_CASE("a stream is long when its tokens outweigh its prompt")
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
    { "never more than half", 2'000, 64, 20, 10 },
    { "a few engines serve everything", 100, 64, 3, 0 },
};

TEST_CASE("long streams get engines by the slots that they fill")
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

TEST_CASE("a number of streams that swings a little moves no engine")
{
    StreamPartition partition;
    for (int report = 0; report < 100; ++report)
        static_cast<void>(partition.update(120, 64, 50));
    const auto settled = partition.update(120, 64, 50);
    for (int report = 0; report < 200; ++report)
        CHECK(partition.update(report % 2 == 0 ? 112 : 128, 64, 50) == settled);
}

TEST_CASE("nodes that know the same engines choose the same, and one more keeps the others")
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

TEST_CASE("plain services have no such engines")
{
    BackendServer plain;
    plain.kind = BackendKind::Plain;
    const std::vector<const BackendServer*> pointers { &plain };
    CHECK(streamEnginesAmong(pointers, 1).empty());
}

} // namespace
