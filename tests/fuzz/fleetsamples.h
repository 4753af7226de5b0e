#pragma once

#include "fleetmessage.h"

#include <string>
#include <vector>

namespace Primrosefork::Testkit {

/** Returns a leader's answer with a value in every part. */
[[nodiscard]] inline auto makeSampleAnswer() -> FleetAnswer
{
    using namespace std::chrono_literals;
    FleetAnswer answer;
    answer.hasAllRollouts = true;
    answer.rollouts = { { "app", "v2", 1ULL << 45U, 7, RolloutPhase::Raising, 0.25, 42s, 3s } };
    answer.shares = { { "salon", 0.25 } };
    answer.otherShare = 0.5;
    answer.streamEngines = { { "llm", 7 } };
    answer.observers = { { "127.0.0.1", 7'600 } };
    answer.overflow = { { "llm", "north-a", "north-b", 3 } };
    answer.permits = { { 7, 3 } };
    answer.hasLimits = true;
    answer.limits = { { 7, 2.5F, 300ms } };
    answer.load = { { { 7, 30, 9'000 } }, { { "llm", 2.5, 400, 41.5 } }, { { "llm", "north-a", 12, 384, 70, 9'000, 4, 41.5 } } };
    answer.prompts = { { "llm", { 5 }, { { 9, 599'999ms } } } };
    return answer;
}

/** Returns an encoded message of each kind that nodes exchange. */
[[nodiscard]] inline auto makeFleetMessages() -> std::vector<std::string>
{
    using namespace std::chrono_literals;
    std::vector<FleetMessage> messages(6);
    auto& report = messages[0].report.emplace();
    report.upTime = 90s;
    report.zone = "north-a";
    report.processorShare = 0.12;
    report.workspaces = { { "salon", 12.5F, 70'000.25, { 1, 2, 3 } } };
    report.windows = { { 353'445'120, { { "salon", 412 }, { "kiosk", 1 } } } };
    report.services = { { "llm", 8'000, 30'000, 5, 1, 2, 41.5, 70'000 } };
    report.limits = { { 7, 2.5F, 300ms } };
    report.limitsDigest = 9;
    report.loads = { { 7, 3, 2'400 }, { 0xffffffff, 1, 0 } };
    report.prompts = { { "llm", { 7, 0 }, { 1, 2 }, { { 5, 250ms, 3 } }, { { 1ULL << 63U, 2, { { 17, 90ms } } } }, { { 5, 1s }, { 6, std::nullopt } }, { { 9, 10min } } } };
    report.overflow = { { "llm", "north-a", "north-b", 8 } };
    report.rollouts = { { "app", "v2", 1ULL << 45U, 7, RolloutPhase::Raising, 0.25, 42s, 9'000, 300, 12, 900ms, 3, { { 1, RolloutAspect::Pace, { 4'000, 2, { 1, 0, 7 } }, { 130, 129, { 128 } } } } } };
    messages[1].answer = makeSampleAnswer();
    messages[2].quotaRequest = { 4, "salon", 1'460 };
    messages[3].quotaReply = { 4, QuotaVerdict::Refused, 250ms };
    messages[4].relayRequest = { 5, { 901, 902, 903 }, { 1, 2, 3 } };
    messages[5].relayReply = { 5, 901, 40ms, true, { { RelayTopic::Registry, { { "key", "value", 933, false } }, 940, true, 12ms, 3s } } };
    std::vector<std::string> encoded;
    for (auto& message : messages) {
        message.sender = "edge-1";
        message.session = 17;
        message.sequence = 3;
        encoded.push_back(encodeFleetMessage(message));
    }
    return encoded;
}

} // namespace Primrosefork::Testkit
