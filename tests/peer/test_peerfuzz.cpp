#include "peerfuzzer.h"

#include <doctest/doctest.h>

using namespace Primrosefork;

namespace {

struct FuzzCase {
    std::uint32_t seed;
    std::uint64_t inputs;
};

const FuzzCase fuzzCases[] = {
    { 1, 50'000 },
    { 2, 25'000 },
    { 3, 25'000 },
};

TEST_CASE("random and altered inputs cause no crash, exception or oversized message")
{
    for (const auto& row : fuzzCases) {
        CAPTURE(row.seed);
        PeerFuzzer fuzzer(row.seed);
        fuzzer.run(row.inputs);
        CHECK(fuzzer.counts().inputs == row.inputs);
        CHECK(fuzzer.counts().acceptedMessages > row.inputs / 20);
        CHECK(fuzzer.counts().acceptedListings > 0);
        CHECK(fuzzer.counts().oversizedMessages == 0);
    }
}

} // namespace
