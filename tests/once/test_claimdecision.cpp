#include "claimdecision.h"
#include "claimrecord.h"

#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

struct DecisionCase {
    const char* name;
    ClaimState state;
    const char* writeId;
    const char* digest;
    ClaimDecision decision;
};

// The deciding node has the write id "mine" and a call with the digest "d1"; "d2" is the digest of another call.
const DecisionCase decisionCases[] = {
    { "own claim, reply lost", ClaimState::Claimed, "mine", "d1", ClaimDecision::Own },
    { "another node's claim", ClaimState::Claimed, "other", "d1", ClaimDecision::Wait },
    { "another node's claim of another call", ClaimState::Claimed, "other", "d2", ClaimDecision::Refuse },
    { "released by another node", ClaimState::NotRun, "other", "d1", ClaimDecision::TakeOver },
    { "another call, released", ClaimState::NotRun, "other", "d2", ClaimDecision::TakeOver },
    { "answered", ClaimState::Answered, "other", "d1", ClaimDecision::Replay },
    { "another call, answered", ClaimState::Answered, "other", "d2", ClaimDecision::Refuse },
    { "answer lost", ClaimState::Unknown, "other", "d1", ClaimDecision::Undecided },
    { "answer lost by this node", ClaimState::Unknown, "mine", "d1", ClaimDecision::Undecided },
    { "another call, answer lost", ClaimState::Unknown, "other", "d2", ClaimDecision::Refuse },
};

TEST_CASE("a node sends a call only if it holds the claim or the call was not sent before")
{
    for (const auto& row : decisionCases) {
        CAPTURE(std::string(row.name));
        ClaimRecord found;
        found.state = row.state;
        found.writeId = row.writeId;
        found.digest = row.digest;
        CHECK(decideClaim(found, "mine", "d1") == row.decision);
    }
}

TEST_CASE("a call whose record cannot be read is never sent")
{
    CHECK(decideClaim(std::nullopt, "mine", "d1") == ClaimDecision::Undecided);
}

const ClaimRecord records[] = {
    { ClaimState::Claimed, "node-1", "w1", "d1", 1500ms, {} },
    { ClaimState::NotRun, "node-1", "w1", "d1", 0ms, {} },
    { ClaimState::Unknown, "node-1", "w1", "d1", 0ms, {} },
    { ClaimState::Answered, "node-1", "w1", "d1", 0ms, { 200, "application/json", R"({"chair":1})", true } },
    { ClaimState::Answered, "node-1", "w1", "d1", 0ms, { 200, "image/png", std::string("\x89\0\xff", 3), true } },
    { ClaimState::Answered, "node-1", "w1", "d1", 0ms, { 200, "text/plain", "", false } },
};

TEST_CASE("a claim record is unchanged by encoding and decoding")
{
    for (const auto& record : records)
        CHECK(decodeClaim(encodeClaim(record)) == record);
}

struct BadValueCase {
    const char* name;
    const char* value;
};

const BadValueCase badValueCases[] = {
    { "empty value", "" },
    { "not JSON", "claimed" },
    { "JSON array", "[]" },
    { "missing state", R"({"node":"n","write_id":"w","digest":"d","remaining_ms":1})" },
    { "unknown state, as a later version may write it", R"({"state":"paused","node":"n","write_id":"w","digest":"d","remaining_ms":1})" },
    { "field of the wrong type", R"({"state":"claimed","node":7,"write_id":"w","digest":"d","remaining_ms":1})" },
    { "missing digest", R"({"state":"claimed","node":"n","write_id":"w","remaining_ms":1})" },
    { "answered, but the answer is missing", R"({"state":"answered","node":"n","write_id":"w","digest":"d","remaining_ms":1})" },
    { "answer body that is not base64",
        R"({"state":"answered","node":"n","write_id":"w","digest":"d","remaining_ms":1,"answer":{"status":200,"content_type":"a","body":"?","whole":true}})" },
};

TEST_CASE("a value that is not a claim record is rejected")
{
    for (const auto& row : badValueCases) {
        CAPTURE(std::string(row.name));
        CHECK_FALSE(decodeClaim(row.value).has_value());
    }
}

TEST_CASE("a claim key is derived from workspace, service and key, and digests differ by route and body")
{
    CHECK(claimKey("jadeleaf", "desk", "k1") == "claims/jadeleaf/desk/6ab9f1eb8f7d3388f4f9d586f66e99fd54080df2c446f0e58668b09c08a16dd0");
    CHECK(callDigest("confirm", "{}") != callDigest("cancel", "{}"));
    CHECK(callDigest("confirm", "{}") != callDigest("confirm", "{ }"));
}

struct AnswerCase {
    const char* name;
    std::size_t bytes;
    bool isWhole;
};

const AnswerCase answerCases[] = {
    { "empty", 0, true },
    { "at the limit", 100, true },
    { "above the limit", 101, false },
};

TEST_CASE("an answer larger than the limit is stored without its body")
{
    for (const auto& row : answerCases) {
        CAPTURE(std::string(row.name));
        const auto kept = dropOversizedBody({ 200, "text/plain", std::string(row.bytes, 'x'), true }, 100);
        CHECK(kept.isComplete == row.isWhole);
        CHECK(kept.body.size() == (row.isWhole ? row.bytes : 0));
        CHECK(kept.status == 200);
    }
}

} // namespace
