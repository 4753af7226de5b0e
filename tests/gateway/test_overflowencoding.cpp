#include "overflowencoding.h"

#include <doctest/doctest.h>
#include <random>

using namespace Primrosefork;

namespace {

struct ValidCase {
    const char* name;
    std::vector<OverflowShare> shares;
    std::vector<OverflowShare> expected;
};

const std::vector<OverflowShare> usual { { "llm", "north-a", "north-b", 3 }, { "desk", "north-a", "north-b", 8 } };

auto manyShares(std::size_t count) -> std::vector<OverflowShare>
{
    std::vector<OverflowShare> shares(count, { "llm", "a", "b", 1 });
    for (std::size_t index = 0; index < count; ++index)
        shares[index].service = "s" + std::to_string(index);
    return shares;
}

const ValidCase validCases[] = {
    { "no share", {}, {} },
    { "two shares", usual, usual },
    { "more than all", { { "llm", "a", "b", 200 } }, { { "llm", "a", "b", 8 } } },
    { "bytes above 127 in names", { { "\xff\x80", "a", "b", 1 } }, { { "\xff\x80", "a", "b", 1 } } },
    { "a name that is too long is left out", { { std::string(256, 'x'), "a", "b", 1 }, { "llm", "a", "b", 1 } }, { { "llm", "a", "b", 1 } } },
    { "too many shares", manyShares(70), manyShares(64) },
};

TEST_CASE("shares arrive as they were sent, as far as it is valid")
{
    for (const auto& row : validCases) {
        CAPTURE(row.name);
        CHECK(decodeOverflow(encodeOverflow(row.shares)) == row.expected);
    }
}

// Guards against an encoding that differs between machines, which a test that encodes and decodes on one does not show.
TEST_CASE("the bytes are the same on every machine")
{
    CHECK(encodeOverflow({ { "llm", "a", "b", 3 }, { "\xff", "a", "b", 8 } }) == std::string("\4\3llm\1a\1b\1\xff\2\0\1\2\3\3\1\2\10", 20));
}

struct InvalidCase {
    const char* name;
    std::string bytes;
};

const InvalidCase invalidCases[] = {
    { "nothing", "" },
    { "a name that ends early", std::string("\1\5ab", 4) },
    { "the number of a name that is not there", std::string("\1\1a\1\0\0\1\1", 8) },
    { "more than eight eighths", std::string("\1\1a\1\0\0\0\11", 8) },
    { "more shares than are allowed", std::string("\1\1a\101", 4) + std::string(std::size_t { 65 } * 4, '\0') },
    { "bytes after the end", std::string("\0\0\0", 3) },
};

TEST_CASE("bytes that are no shares are refused")
{
    for (const auto& row : invalidCases) {
        CAPTURE(row.name);
        CHECK_FALSE(decodeOverflow(row.bytes).has_value());
    }
    const auto whole = encodeOverflow(usual);
    for (std::size_t size = 0; size < whole.size(); ++size)
        CHECK_FALSE(decodeOverflow(whole.substr(0, size)).has_value());
    std::minstd_rand random(1);
    for (int attempt = 0; attempt < 20'000; ++attempt) {
        auto changed = whole;
        changed[random() % changed.size()] = static_cast<char>(random());
        // Either result is right; shares that come out are in range.
        const auto decoded = decodeOverflow(changed);
        for (const auto& share : decoded ? *decoded : std::vector<OverflowShare>())
            CHECK(share.eighths <= wholeOverflow);
    }
}

} // namespace
