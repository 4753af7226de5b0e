#include "faultplan.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace Primrosefork::Measure;
using namespace std::chrono_literals;

namespace {

auto optionsWith(std::uint32_t seed) -> PlanOptions
{
    PlanOptions options;
    options.seed = seed;
    options.length = 10 * blockLength;
    return options;
}

TEST_CASE("the same seed makes the same plan, and another seed another one")
{
    CHECK(makePlan(optionsWith(7)) == makePlan(optionsWith(7)));
    CHECK(makePlan(optionsWith(7)) != makePlan(optionsWith(8)));
}

TEST_CASE("a plan that is cut down keeps the rest of its faults where they were")
{
    const auto whole = makePlan(optionsWith(7));
    auto options = optionsWith(7);
    options.only = { "kill", "store-away" };
    options.until = 100s;
    const auto part = makePlan(options);
    REQUIRE_FALSE(part.empty());
    CHECK(part.size() < whole.size());
    for (const auto& fault : part) {
        CHECK((fault.kind == "kill" || fault.kind == "store-away"));
        CHECK(fault.at < 100s);
        CHECK(std::find(whole.begin(), whole.end(), fault) != whole.end());
    }
}

TEST_CASE("a plan has every kind of fault, in the first half of a block")
{
    std::set<std::string> kinds;
    for (const auto& fault : makePlan(optionsWith(7))) {
        kinds.insert(fault.kind);
        CHECK(fault.at % blockLength < faultTime);
        CHECK(fault.duration > 0ms);
    }
    CHECK(kinds.size() == faultKinds().size());
}

TEST_CASE("a kind of fault that does not exist is found")
{
    CHECK(findUnknownKind({ "kill", "stop" }).empty());
    CHECK(findUnknownKind({ "kill", "halt" }) == "halt");
}

} // namespace
