#include "fleetmessage.h"

#include <doctest/doctest.h>
#include <limits>
#include <random>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

auto makeReport() -> NodeReport
{
    NodeReport report;
    report.upTime = 90s;
    report.zone = "north-a";
    report.processorShare = 0.12;
    report.workspaces = { { "salon", 12.5F, 70'000.25, { 1, 2, 3 } }, { "kiosk", 1, 0, {} } };
    report.windows = { { 353'445'120, { { "salon", 412 }, { "kiosk", 1 } } } };
    report.settingsDigest = 1ULL << 63U;
    report.configurationRevision = 901;
    report.services = { { "llm", 8'000, 30'000, 5, 1, 2, 41.5, 70'000 } };
    report.limits = { { 1ULL << 63U, 2.5F, 300ms }, { 8, 0, 2s } };
    report.limitsDigest = 1ULL << 62U;
    report.prompts = { { "llm", { 7, 0 }, { 1, 2 }, { { 0xffffffff, 250ms, 3 } }, { { 1ULL << 63U, 2, { { 17, 90ms }, { 18, 59s } } } },
        { { 5, 1s }, { 6, std::nullopt } }, { { 9, 10min } } } };
    return report;
}

auto makeAnswer() -> FleetAnswer
{
    FleetAnswer answer;
    answer.nodes = 295;
    answer.reportSequence = 17;
    answer.configurationRevision = 901;
    answer.configurationAge = 250ms;
    answer.registryRevision = 950;
    answer.shares = { { "salon", 0.25 } };
    answer.otherShare = 0.5;
    answer.streamEngines = { { "llm", 7 } };
    answer.prompts = { { "llm", { 5, 1ULL << 63U }, { { 9, 599'999ms } } } };
    answer.hasAllQuarantines = true;
    answer.permits = { { 1ULL << 63U, 65'535 } };
    answer.hasLimits = true;
    answer.limits = { { 8, 0.5F, 2s } };
    answer.overflow = { { "llm", "north-a", "north-b", 3 }, { "desk", "north-a", "north-b", 1 } };
    answer.observers = { { "10.1.0.14", 7600 }, { "127.0.0.1", 65'535 } };
    return answer;
}

auto makeRollout() -> RolloutReport
{
    RolloutReport rollout { "app", "v2", 1ULL << 45U, 7, RolloutPhase::Raising, 0.25, 42s, 1ULL << 40U, 300, 12, 900ms, 1U << 31U, {} };
    RouteCounts counts { 0xffffffff, RolloutAspect::Pace, { 4'000, 2, {} }, { 130, 129, {} } };
    counts.earlier.times[0] = 1;
    counts.earlier.times[timeBuckets - 1] = 0xffffffff;
    counts.next.times[12] = 128;
    rollout.routes = { counts, { 1, RolloutAspect::Answer, {}, {} } };
    return rollout;
}

auto makeRelayReply() -> RelayReply
{
    RelayReply reply;
    reply.number = 5;
    reply.configurationRevision = 901;
    reply.configurationAge = 40ms;
    reply.isFollowing = true;
    reply.parts = { { RelayTopic::Registry, { { "servers/i-1", std::string("\0bytes\xff", 7), 933, false }, { "servers/i-2", "", 934, true } }, 940, true, 12ms, 3s } };
    return reply;
}

TEST_CASE("a report arrives as it was sent")
{
    FleetMessage message;
    message.sender = "edge-1";
    message.session = 1ULL << 60U;
    message.sequence = 17;
    message.report = makeReport();
    const auto decoded = decodeFleetMessage(encodeFleetMessage(message));
    REQUIRE(decoded.has_value());
    CHECK(decoded->sender == "edge-1");
    CHECK(decoded->session == message.session);
    REQUIRE(decoded->report.has_value());
    const auto& report = *decoded->report;
    CHECK(report.upTime == 90s);
    CHECK(report.zone == "north-a");
    CHECK(report.processorShare == doctest::Approx(0.12));
    REQUIRE(report.workspaces.size() == 2);
    CHECK(report.workspaces[0].locallyGrantedUnits == 70'000.25);
    CHECK(report.workspaces[0].recentUse.inWindow == 3);
    CHECK(report.workspaces[1].workspace == "kiosk");
    CHECK(report.services.front().promptTokensPerSecond == 70'000);
    CHECK_FALSE(report.overflow.has_value());
    CHECK(report.windows.front().counts == UsageCounts { { "salon", 412 }, { "kiosk", 1 } });
    CHECK(report.services.front().openRequests == 5);
    CHECK(report.services.front().requestsPerSecond == 41.5);
    REQUIRE(report.limits.size() == 2);
    CHECK(report.limits[0].server == 1ULL << 63U);
    CHECK(report.limits[0].perSecond == 2.5F);
    CHECK(report.limits[1].perSecond == 0);
    CHECK(report.limits[1].age == 2s);
    CHECK(report.limitsDigest == 1ULL << 62U);
    CHECK(report.settingsDigest == 1ULL << 63U);
    CHECK(report.configurationRevision == 901);
    REQUIRE(report.prompts.size() == 1);
    const auto& prompts = report.prompts.front();
    CHECK(prompts.begun == std::vector<std::uint16_t> { 7, 0 });
    CHECK(prompts.lost == std::vector<std::uint16_t> { 1, 2 });
    CHECK(prompts.crashes.front().server == 0xffffffff);
    CHECK(prompts.crashes.front().losses == 3);
    CHECK(prompts.suspects.front().part == 1ULL << 63U);
    CHECK(prompts.suspects.front().position == 2);
    REQUIRE(prompts.suspects.front().losses.size() == 2);
    CHECK(prompts.suspects.front().losses[1].age == 59s);
    CHECK(prompts.begins[0].age == 1s);
    CHECK_FALSE(prompts.begins[1].age.has_value());
    CHECK(prompts.quarantined.front().left == 10min);
}

// Guards against a leader that takes a node without a share for one that does not state its shares.
TEST_CASE("shares that are empty are not the same as none")
{
    for (const auto& overflow : { std::optional<std::vector<OverflowShare>>(), { std::vector<OverflowShare>() }, { { { "llm", "north-a", "north-b", 8 } } } }) {
        FleetMessage message;
        message.report = makeReport();
        message.report->overflow = overflow;
        message.answer = makeAnswer();
        message.answer->overflow = overflow;
        const auto decoded = decodeFleetMessage(encodeFleetMessage(message));
        REQUIRE(decoded.has_value());
        CHECK(decoded->report->overflow == overflow);
        CHECK(decoded->answer->overflow == overflow);
    }
}

TEST_CASE("an answer arrives as it was sent")
{
    FleetMessage message;
    message.answer = makeAnswer();
    const auto decoded = decodeFleetMessage(encodeFleetMessage(message));
    REQUIRE(decoded.has_value());
    REQUIRE(decoded->answer.has_value());
    CHECK(decoded->answer->nodes == 295);
    CHECK(decoded->answer->configurationAge == 250ms);
    CHECK(decoded->answer->shares.front().share == 0.25);
    CHECK(decoded->answer->otherShare == 0.5);
    CHECK(decoded->answer->streamEngines.front().count == 7);
    REQUIRE(decoded->answer->prompts.size() == 1);
    CHECK(decoded->answer->prompts.front().questioned == std::vector<std::uint64_t> { 5, 1ULL << 63U });
    CHECK(decoded->answer->prompts.front().quarantined.front().left == 599'999ms);
    CHECK(decoded->answer->overflow == makeAnswer().overflow);
    CHECK(decoded->answer->hasAllQuarantines);
    CHECK(decoded->answer->permits.front().count == 65'535);
    CHECK(decoded->answer->hasLimits);
    CHECK_FALSE(decoded->answer->hasAllLimits);
    CHECK(decoded->answer->limits.front().perSecond == 0.5F);
    CHECK(decoded->answer->observers == makeAnswer().observers);
}

TEST_CASE("relayed changes arrive as they were sent")
{
    FleetMessage message;
    message.relayReply = makeRelayReply();
    const auto decoded = decodeFleetMessage(encodeFleetMessage(message));
    REQUIRE(decoded.has_value());
    REQUIRE(decoded->relayReply.has_value());
    CHECK(decoded->relayReply->isFollowing);
    REQUIRE(decoded->relayReply->parts.size() == 1);
    const auto& part = decoded->relayReply->parts.front();
    CHECK(part.entries[0].value == std::string("\0bytes\xff", 7));
    CHECK(part.entries[1].isDeleted);
    CHECK(part.hasMore);
    CHECK(part.sinceRecovery == 3s);
}

/** Values of another node that its message cannot have, and what is read instead. */
TEST_CASE("numbers and times out of range are read as ones in range")
{
    FleetMessage message;
    message.report = makeReport();
    message.report->upTime = -5ms;
    message.report->processorShare = std::numeric_limits<double>::quiet_NaN();
    message.report->workspaces.front().requestedPerSecond = std::numeric_limits<float>::infinity();
    message.report->workspaces.front().locallyGrantedUnits = -1;
    message.report->services.front().readTokensPerSecond = std::numeric_limits<double>::max();
    message.answer = makeAnswer();
    message.answer->configurationAge = std::chrono::milliseconds::max();
    message.answer->registryAge = std::chrono::milliseconds::min();
    message.answer->otherShare = std::numeric_limits<double>::quiet_NaN();
    message.answer->shares.front().share = 7;
    message.quotaRequest = { 1, "salon", std::numeric_limits<double>::quiet_NaN() };
    message.relayReply = makeRelayReply();
    message.relayReply->parts.front().age = std::chrono::milliseconds::max();
    message.relayReply->parts.front().sinceRecovery = -1ms;
    const auto decoded = decodeFleetMessage(encodeFleetMessage(message));
    REQUIRE(decoded.has_value());
    CHECK(decoded->report->upTime == 0ms);
    CHECK(decoded->report->processorShare == 0);
    CHECK(decoded->report->workspaces.front().requestedPerSecond == doctest::Approx(1e15));
    CHECK(decoded->report->workspaces.front().locallyGrantedUnits == 0);
    CHECK(decoded->report->services.front().readTokensPerSecond == doctest::Approx(1e15));
    CHECK(decoded->answer->configurationAge == 876'000h);
    CHECK(decoded->answer->registryAge == 0ms);
    CHECK(decoded->answer->otherShare == 0);
    CHECK(decoded->answer->shares.front().share == 1);
    CHECK(decoded->quotaRequest->units == 0);
    CHECK(decoded->relayReply->parts.front().age == 876'000h);
    CHECK(decoded->relayReply->parts.front().sinceRecovery == 0ms);
}

TEST_CASE("a message with a kind of value that is not defined is refused")
{
    FleetMessage reply;
    reply.quotaReply = { 1, static_cast<QuotaVerdict>(3), 0ms };
    CHECK_FALSE(decodeFleetMessage(encodeFleetMessage(reply)).has_value());
    FleetMessage relayed;
    relayed.relayReply = makeRelayReply();
    relayed.relayReply->parts.front().topic = static_cast<RelayTopic>(3);
    CHECK_FALSE(decodeFleetMessage(encodeFleetMessage(relayed)).has_value());
}

TEST_CASE("loads arrive as they were sent, brought into range")
{
    FleetMessage message;
    message.report = makeReport();
    message.report->loads = { { 0xfffffffe, 3, 128'000 }, { 127, 300, 0 }, { 1, -1, std::numeric_limits<std::int64_t>::max() } };
    message.answer = makeAnswer();
    const LoadAnswer load { { { 0x80000000, 300, 1'000'000 } }, { { "llm", 12.25, 800, 57.5 }, { "plain", 0.5, 0, 1 } },
        { { "llm", "north-a", 30, 960, 700, 81'000, 12, 41.5 }, { "plain", "north-b", 2, 12, 1, 0, 0, 0 } } };
    message.answer->load = load;
    message.answer->load->means[1].openRequests = std::numeric_limits<double>::quiet_NaN();
    message.answer->load->rooms[1].requestsPerSecond = std::numeric_limits<double>::infinity();
    const auto decoded = decodeFleetMessage(encodeFleetMessage(message));
    REQUIRE(decoded.has_value());
    CHECK(decoded->report->loads == std::vector<BackendLoad> { { 0xfffffffe, 3, 128'000 }, { 127, 300, 0 }, { 1, 0, 1'000'000'000'000 } });
    REQUIRE(decoded->answer->load.has_value());
    CHECK(decoded->answer->load->busiest == load.busiest);
    CHECK(decoded->answer->load->means[0] == load.means[0]);
    CHECK(decoded->answer->load->means[1].openRequests == 0);
    CHECK(decoded->answer->load->rooms[0] == load.rooms[0]);
    CHECK(decoded->answer->load->rooms[1].requestsPerSecond == 1e10);
}

/** Bytes after a small report without loads, and whether the message is read. */
struct BlockCase {
    const char* name;
    std::string bytes;
    bool isRead;
    bool hasLoads;
};

const BlockCase blockCases[] = {
    { "no block, as nodes of earlier versions send", "", true, false },
    { "loads", std::string("\1\7\1abcd\5\6", 9), true, true },
    { "an empty list of loads", std::string("\1\1\0", 3), true, true },
    { "an answer in a report", std::string("\2\4\0\0\0\0", 6), true, false },
    { "a block of a kind that later versions may have", std::string("\x7f\2ab", 4), true, false },
    { "such a block before loads", std::string("\x7f\2ab\1\1\0", 7), true, true },
    { "a kind without a length", "\1", false, false },
    { "a length beyond the end", "\1\7\1abcd", false, false },
    { "a list that is longer than its block", std::string("\1\7\2abcd\5\6", 9), false, false },
    { "a number without an end", std::string(16, '\xff'), false, false },
};

// Guards against nodes of two versions that do not hear each other during an update, and against loads that are read from damaged bytes.
TEST_CASE("blocks after the message are read, skipped or refused as a whole")
{
    FleetMessage message;
    message.sender = "edge-1";
    message.report.emplace().zone = "a";
    const auto plain = encodeFleetMessage(message);
    REQUIRE(plain.front() == '\0');
    for (const auto& row : blockCases) {
        CAPTURE(row.name);
        const auto decoded = decodeFleetMessage(plain + row.bytes);
        REQUIRE(decoded.has_value() == row.isRead);
        if (row.isRead)
            CHECK(decoded->report->loads.has_value() == row.hasLoads);
    }
}

TEST_CASE("what nodes and leader say about roll-outs arrives as it was sent")
{
    FleetMessage message;
    message.report = NodeReport {};
    message.report->rollouts = { makeRollout() };
    message.answer = FleetAnswer {};
    message.answer->hasAllRollouts = true;
    message.answer->rollouts = { { "app", "v2", 1ULL << 45U, 7, RolloutPhase::Full, 1, 42s, 3s }, { "app", "v1", 9, 4, RolloutPhase::RolledBack, 0, 0s, 0s } };
    const auto decoded = decodeFleetMessage(encodeFleetMessage(message));
    REQUIRE(decoded.has_value());
    CHECK(decoded->report->rollouts == message.report->rollouts);
    CHECK(decoded->answer->hasAllRollouts);
    CHECK(decoded->answer->rollouts == message.answer->rollouts);
}

// Guards against numbers of another node that decisions cannot deal with.
TEST_CASE("what is said about roll-outs is read in range, or refused")
{
    FleetMessage message;
    message.answer = FleetAnswer {};
    message.answer->rollouts = { { "app", "v2", 1, 7, RolloutPhase::Full, std::numeric_limits<double>::quiet_NaN(), -1s, std::chrono::milliseconds::max() } };
    auto decoded = decodeFleetMessage(encodeFleetMessage(message));
    REQUIRE(decoded.has_value());
    CHECK(decoded->answer->rollouts.front().share == 0);
    CHECK(decoded->answer->rollouts.front().left == 0s);
    CHECK(decoded->answer->rollouts.front().drainTime == 24h);
    message.answer->rollouts.front().phase = static_cast<RolloutPhase>(8);
    CHECK_FALSE(decodeFleetMessage(encodeFleetMessage(message)).has_value());
}

/** During a roll-out, a node reports on all routes of the service. */
TEST_CASE("a report during a roll-out fits into one packet")
{
    constexpr std::size_t maxBytes = 1'200;
    FleetMessage message;
    message.sender = "edge-tw-north-a-117";
    message.report = makeReport();
    message.report->prompts.clear();
    auto rollout = makeRollout();
    rollout.routes.clear();
    std::minstd_rand random(1);
    for (std::uint32_t route = 0; route < 8; ++route) {
        for (const auto aspect : { RolloutAspect::Answer, RolloutAspect::Start, RolloutAspect::Pace }) {
            auto& counts = rollout.routes.emplace_back(RouteCounts { static_cast<std::uint32_t>(random()), aspect, { 900, 3, {} }, { 40, 0, {} } });
            for (int bucket = 0; bucket < 7; ++bucket) {
                counts.earlier.times[14 + bucket] = static_cast<std::uint32_t>(random() % 300);
                counts.next.times[14 + bucket] = static_cast<std::uint32_t>(random() % 15);
            }
        }
    }
    message.report->rollouts = { rollout };
    CHECK(encodeFleetMessage(message).size() <= maxBytes);
}

/** A node of a large fleet has a few requests of a few workspaces between two reports. */
TEST_CASE("a report of a node in a large fleet fits into a small datagram")
{
    constexpr std::size_t maxBytes = 600;
    FleetMessage message;
    message.sender = "edge-tw-north-a-117";
    message.report = makeReport();
    message.report->workspaces.clear();
    message.report->prompts.clear();
    for (int workspace = 0; workspace < 12; ++workspace)
        message.report->workspaces.push_back({ "workspace" + std::to_string(workspace), 900, 0, {} });
    message.report->windows = { { 353'445'120, {} } };
    for (int workspace = 0; workspace < 12; ++workspace)
        message.report->windows.front().counts["workspace" + std::to_string(workspace)] = 2;
    CHECK(encodeFleetMessage(message).size() <= maxBytes);
}

/** While servers crash, a report still fits into few packets. */
TEST_CASE("the largest evidence of crashes fits into a few packets")
{
    constexpr std::size_t maxBytes = 4'200;
    std::minstd_rand random(1);
    PromptEvidence evidence { "llm", {}, {}, {}, {}, {}, {} };
    evidence.begun.assign(evidenceSlots, 40);
    evidence.lost.assign(evidenceSlots, 20);
    for (std::size_t index = 0; index < maxReportedCrashes; ++index)
        evidence.crashes.push_back({ static_cast<std::uint32_t>(random()), std::chrono::milliseconds(random() % 60'000), 2 });
    for (std::size_t index = 0; index < maxReportedSuspects; ++index) {
        auto& suspect = evidence.suspects.emplace_back(PromptSuspect { random(), 1, {} });
        for (std::size_t loss = 0; loss < maxReportedLosses; ++loss)
            suspect.losses.push_back({ static_cast<std::uint32_t>(random()), std::chrono::milliseconds(random() % 60'000) });
    }
    for (std::size_t index = 0; index < maxQuestionedParts; ++index)
        evidence.begins.push_back({ random(), 5s });
    FleetMessage message;
    message.sender = "edge-tw-north-a-117";
    message.report = NodeReport {};
    message.report->prompts = { evidence };
    CHECK(encodeFleetMessage(message).size() <= maxBytes);
}

TEST_CASE("bytes that are no message are refused")
{
    FleetMessage message;
    message.sender = "edge-1";
    message.report = makeReport();
    message.answer = makeAnswer();
    message.relayReply = makeRelayReply();
    const auto whole = encodeFleetMessage(message);
    for (std::size_t size = 0; size < whole.size(); ++size)
        CHECK_FALSE(decodeFleetMessage(whole.substr(0, size)).has_value());
    std::minstd_rand random(1);
    for (int attempt = 0; attempt < 20'000; ++attempt) {
        auto changed = whole;
        for (int change = 0; change < 4; ++change)
            changed[random() % changed.size()] = static_cast<char>(random());
        // Either result is right, as long as nothing but a message or nothing comes out.
        static_cast<void>(decodeFleetMessage(changed));
    }
}

} // namespace
