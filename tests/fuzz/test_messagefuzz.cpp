#include "eventsplitter.h"
#include "fleetmessage.h"
#include "fleetsamples.h"
#include "headers.h"
#include "messageparser.h"
#include "mutator.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t seeds[] = { 1, 2, 3 };
constexpr int inputsPerSeed = 8'000;
constexpr std::int64_t maxCount = 1'000'000'000;
constexpr std::chrono::milliseconds maxFleetTime = 876'000h;

TEST_CASE("altered headers of a caller are read as values in range")
{
    const std::vector<std::string> deadlines { "6000", "1" };
    const std::vector<std::string> counts { "1460,80", "1,1" };
    const std::vector<std::string> prefixes { "5c1e07a2:800,91bd3f06:410", "1:2" };
    for (const auto seed : seeds) {
        CAPTURE(seed);
        Mutator mutator(seed);
        for (int input = 0; input < inputsPerSeed; ++input) {
            const HttpHeaders headers { { "X-Attempt-Id", "9c41" }, { "X-Deadline-Ms", mutator.mutate(deadlines) }, { "X-Token-Counts", mutator.mutate(counts) },
                { "X-Prompt-Prefix", mutator.mutate(prefixes) }, { "Authorization", mutator.mutate(std::vector<std::string> { "Token abc" }) } };
            const auto fields = PlatformHeaders().readCaller(headers);
            const auto deadline = fields.deadline.value_or(0ms);
            REQUIRE((deadline >= 0ms && deadline <= 24h));
            REQUIRE((fields.promptTokens >= 0 && fields.promptTokens <= maxCount));
            REQUIRE((fields.outputTokens >= 0 && fields.outputTokens <= maxCount));
            for (const auto& part : fields.promptParts)
                REQUIRE((part.tokens >= 0 && part.tokens <= maxCount));
        }
    }
}

TEST_CASE("altered headers of a server are read as values in range")
{
    const std::vector<std::string> loads { "3,1,8,250", "1,0,64" };
    const std::vector<std::string> pauses { "2", "0.25", "1e3" };
    for (const auto seed : seeds) {
        CAPTURE(seed);
        Mutator mutator(seed);
        for (int input = 0; input < inputsPerSeed; ++input) {
            const auto reply = PlatformHeaders().readReply(503, { { "X-Instance-Load", mutator.mutate(loads) }, { "Retry-After", mutator.mutate(pauses) }, { "Server-Leaving", mutator.mutate(std::vector<std::string> { "1" }) } });
            if (reply.retryAfter)
                REQUIRE((*reply.retryAfter > 0ms && *reply.retryAfter <= 24h));
            if (!reply.load)
                continue;
            for (const auto number : { reply.load->running, reply.load->waiting, reply.load->slots, reply.load->slownessPercent })
                REQUIRE((number >= 0 && number <= maxCount));
        }
    }
}

const std::vector<std::string> streams { "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 17\r\nevent: token\r\ndata: {\"t\":\"x\"}\r\n\r\n", "data: [DONE]\n\n" };

TEST_CASE("altered event streams are passed on byte for byte, with ids that a header can carry")
{
    for (const auto seed : seeds) {
        CAPTURE(seed);
        Mutator mutator(seed);
        for (int input = 0; input < inputsPerSeed; ++input) {
            const auto text = mutator.mutate(streams);
            EventSplitter splitter;
            std::string passedOn;
            const auto handle = [&passedOn](const StreamEvent& event) {
                passedOn += event.text;
                REQUIRE((!event.id || event.id->find_first_of(std::string_view("\r\n\0", 3)) == std::string_view::npos));
            };
            for (std::size_t place = 0; place < text.size();) {
                const auto size = 1 + mutator.below(text.size() - place);
                splitter.add(std::string_view(text).substr(place, size), handle);
                place += size;
            }
            REQUIRE(text.starts_with(passedOn));
            REQUIRE(passedOn.size() + splitter.pendingBytes() == text.size());
        }
    }
}

struct ParserSample {
    const char* name;
    MessageParser::Kind kind;
    std::vector<std::string> messages;
};

const ParserSample parserSamples[] = {
    { "requests", MessageParser::Kind::Request,
        { "POST /chat/x HTTP/1.1\r\nHost: a.example\r\nX-Own: 1\r\nContent-Length: 4\r\n\r\nbody",
            "POST /chat/x HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nTrailer: 1\r\n\r\n", "GET /read/?a=b HTTP/1.0\r\nHost: a\r\n\r\n" } },
    { "responses", MessageParser::Kind::Response,
        { "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nid: 1\r\n0\r\n\r\n", "HTTP/1.1 503 X\r\nRetry-After: 1\r\nContent-Length: 2\r\n\r\n{}",
            "HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", "HTTP/1.1 204 None\r\n\r\n" } },
};

TEST_CASE("altered HTTP messages are read within the limit for the head, or refused")
{
    constexpr std::size_t maxHeadBytes = 1'024;
    for (const auto& row : parserSamples) {
        CAPTURE(row.name);
        for (const auto seed : seeds) {
            CAPTURE(seed);
            Mutator mutator(seed);
            int complete = 0;
            for (int input = 0; input < inputsPerSeed; ++input) {
                const auto text = mutator.mutate(row.messages);
                std::size_t bodyBytes = 0;
                MessageParser parser(row.kind, { [](const MessageHead&) {}, [&bodyBytes](std::string_view bytes) { bodyBytes += bytes.size(); } }, maxHeadBytes);
                auto result = ParseResult::NeedsMore;
                for (std::size_t place = 0; place < text.size() && result == ParseResult::NeedsMore;) {
                    const auto size = 1 + mutator.below(std::min<std::size_t>(maxHeadBytes, text.size() - place));
                    std::size_t consumed = 0;
                    result = parser.feed(std::string_view(text).substr(place, size), consumed);
                    REQUIRE(consumed <= size);
                    place += size;
                }
                complete += result == ParseResult::Complete ? 1 : 0;
                REQUIRE(bodyBytes <= text.size());
                std::size_t headerBytes = 0;
                for (const auto& header : parser.head().headers) {
                    headerBytes += header.name.size() + header.value.size();
                    REQUIRE(header.value.find_first_of("\r\n") == std::string::npos);
                }
                REQUIRE(headerBytes <= 2 * maxHeadBytes);
                static_cast<void>(parser.finish());
            }
            CHECK(complete > inputsPerSeed / 20);
        }
    }
}

auto isAmount(double amount) -> bool
{
    return std::isfinite(amount) && amount >= 0;
}

auto isTime(std::chrono::milliseconds time) -> bool
{
    return time >= 0ms && time <= maxFleetTime;
}

auto isInRange(const NodeReport& report) -> bool
{
    return isTime(report.upTime) && isAmount(report.processorShare)
        && std::all_of(report.workspaces.begin(), report.workspaces.end(),
            [](const WorkspaceReport& entry) {
                return isAmount(entry.requestedPerSecond) && isAmount(entry.locallyGrantedUnits) && isAmount(entry.recentUse.inShortSpan) && isAmount(entry.recentUse.inMiddleSpan)
                    && isAmount(entry.recentUse.inWindow);
            })
        && std::all_of(report.services.begin(), report.services.end(),
            [](const ServiceReport& entry) { return isAmount(entry.readTokensPerSecond) && isAmount(entry.engineTokensPerSecond) && entry.openRequests >= 0 && entry.waitingRequests >= 0 && entry.openStreams >= 0; });
}

auto isInRange(const FleetAnswer& answer) -> bool
{
    return isTime(answer.configurationAge) && isTime(answer.registryAge) && isAmount(answer.otherShare) && answer.otherShare <= 1
        && std::all_of(answer.shares.begin(), answer.shares.end(), [](const QuotaShare& share) { return isAmount(share.share) && share.share <= 1; })
        && std::all_of(answer.streamEngines.begin(), answer.streamEngines.end(), [](const StreamEngines& entry) { return entry.count >= 0; });
}

auto isInRange(const RelayReply& reply) -> bool
{
    return isTime(reply.configurationAge)
        && std::all_of(reply.parts.begin(), reply.parts.end(),
            [](const RelayPart& part) { return part.topic <= RelayTopic::Leader && isTime(part.age) && isTime(part.sinceRecovery.value_or(0ms)); });
}

auto isInRange(const FleetMessage& message) -> bool
{
    return (!message.report || isInRange(*message.report)) && (!message.answer || isInRange(*message.answer)) && (!message.relayReply || isInRange(*message.relayReply))
        && (!message.quotaRequest || isAmount(message.quotaRequest->units))
        && (!message.quotaReply || (message.quotaReply->verdict <= QuotaVerdict::NoAccount && isTime(message.quotaReply->wait)));
}

TEST_CASE("altered messages between nodes are refused, or are in range")
{
    const auto messages = makeFleetMessages();
    for (const auto seed : seeds) {
        CAPTURE(seed);
        Mutator mutator(seed);
        int accepted = 0;
        for (int input = 0; input < 3 * inputsPerSeed; ++input) {
            const auto message = decodeFleetMessage(mutator.mutate(messages));
            if (!message)
                continue;
            ++accepted;
            REQUIRE(isInRange(*message));
        }
        CHECK(accepted > inputsPerSeed / 10);
    }
}

} // namespace
