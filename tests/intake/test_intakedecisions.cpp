#include "bodyadmission.h"
#include "bodytiming.h"
#include "connectionchoice.h"
#include "descriptorlimit.h"
#include "memoryreturn.h"
#include "units.h"

#include <doctest/doctest.h>
#include <memory>
#include <vector>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

struct AdmissionCase {
    const char* name;
    std::vector<std::size_t> admitted; ///< In KiB, as all sizes; the budget is 8 MiB.
    std::size_t body;
    bool isAdmitted;
    std::size_t connections = 0; ///< What connections take.
};

const AdmissionCase admissionCases[] = {
    { "a body alone", {}, 4'096, true },
    { "a body alone that exceeds the budget", {}, 9'000, true },
    { "a large one beside a large one", { 4'096 }, 4'096, false },
    { "a large one in the part for large ones", { 4'096 }, 1'024, true },
    { "a large one just above that part", { 4'096 }, 1'025, false },
    { "a small one above the part for large ones", { 4'096, 1'024 }, 64, true },
    { "one that is just too large to be small", { 4'096, 1'024 }, 65, false },
    { "a small one that fills the part for small ones", { 4'096, 1'024, 960 }, 64, true },
    { "a small one above its part", { 4'096, 1'024, 960 }, 65, false },
    { "a small one when even that is full", { 4'096, 1'024, 961 }, 64, false },
    { "a large one beside many connections", { 2'048 }, 2'048, false, 1'025 },
    { "a small one beside many connections", { 2'048 }, 64, true, 2'048 },
    { "a request without a body", { 9'000 }, 0, true },
};

// Guards against a few large bodies that fill the budget until their requests end, so that all others are refused.
TEST_CASE("admitted bodies leave a part of the budget to small ones and to all else")
{
    for (const auto& row : admissionCases) {
        CAPTURE(std::string(row.name));
        BodyAdmission admission(8 * mebibyte);
        std::vector<std::unique_ptr<BodyAdmission::Share>> shares;
        for (const auto size : row.admitted)
            shares.push_back(std::make_unique<BodyAdmission::Share>(admission, size * kibibyte));
        CHECK(admission.admits(row.body * kibibyte, admission.size() + row.connections * kibibyte) == row.isAdmitted);
        shares.clear();
        CHECK(admission.size() == 0);
    }
}

struct TimingCase {
    const char* name;
    std::size_t bytes;
    std::chrono::milliseconds age;
    std::chrono::milliseconds left;
};

constexpr std::chrono::milliseconds grace = 30s;

// The least rate is 16 KiB a second, the longest time 120 s.
const TimingCase timingCases[] = {
    { "at its headers", 0, 0ms, 30s },
    { "nothing after a pause within the idle timeout", 0, 12s, 18s },
    { "nothing for too long", 0, 31s, -1s },
    { "a body at the least rate", std::size_t { 32 } * 16'384, 32s, 30s },
    { "a body below the least rate", 16'384, 32s, -1s },
    { "all but one byte of the largest body", 4'194'303, 119s, 1s },
    { "the same beyond the longest time", 4'194'303, 121s, -1s },
};

// Guards against bodies that trickle, so that they take memory and connections without end.
TEST_CASE("a body has the time of its bytes at the least rate, and no longer than the longest time")
{
    for (const auto& row : timingCases) {
        CAPTURE(std::string(row.name));
        CHECK(bodyTimeLeft({}, grace, row.bytes, row.age) == row.left);
    }
}

using Phase = ConnectionUse::Phase;

struct ChoiceCase {
    const char* name;
    std::vector<ConnectionUse> connections;
    std::size_t count;
    std::vector<std::size_t> chosen;
};

const ChoiceCase choiceCases[] = {
    { "none", {}, 1, {} },
    { "the one that is idle longest", { { Phase::Idle, 2s, 0, true }, { Phase::Idle, 9s, 0, true }, { Phase::Idle, 5s, 0, true } }, 2, { 1, 2 } },
    { "one that has sent nothing before one that is kept", { { Phase::Idle, 9s, 0, true }, { Phase::Idle, 2s, 0, false } }, 1, { 1 } },
    { "a kept one before one that was just opened", { { Phase::Idle, 900ms, 0, false }, { Phase::Idle, 500ms, 0, true } }, 2, { 0, 1 } },
    { "the slowest request", { { Phase::Receiving, 2s, 4'000'000 }, { Phase::Receiving, 30s, 3'000'000 }, { Phase::Receiving, 2s, 100'000 } }, 2, { 2, 1 } },
    { "a slow request before one that is kept", { { Phase::Idle, 9s, 0, true }, { Phase::Receiving, 2s, 100 } }, 1, { 1 } },
    { "a kept one before a request that has just begun", { { Phase::Receiving, 900ms, 100 }, { Phase::Idle, 2s, 0, true } }, 1, { 1 } },
    { "one that has been ending for long before a kept one", { { Phase::Idle, 9s, 0, true }, { Phase::Ending, 2s } }, 1, { 1 } },
    { "one that ends last", { { Phase::Ending, 900ms }, { Phase::Receiving, 10ms, 100 } }, 2, { 1, 0 } },
    { "never one that is answered", { { Phase::Responding, 60s }, { Phase::Idle, 1s, 0, true } }, 5, { 1 } },
};

// Guards against turning new callers away while others hold connections without using them, and against cutting off an answer.
TEST_CASE("connections that are used least are closed for new ones")
{
    for (const auto& row : choiceCases) {
        CAPTURE(std::string(row.name));
        CHECK(connectionsToClose(row.connections, row.count) == row.chosen);
    }
}

struct DescriptorCase {
    const char* name;
    std::size_t setting;
    std::size_t processLimit;
    std::size_t expected;
};

const DescriptorCase descriptorCases[] = {
    { "the smallest machine", 0, 3'075, 2'307 },
    { "the largest one", 0, 10'250, 7'688 },
    { "a setting", 500, 3'075, 500 },
    { "a setting that leaves no reserve", 3'000, 3'075, 2'307 },
};

// Guards against connections of callers that leave no descriptors for servers and the store.
TEST_CASE("connections of callers leave a quarter of the descriptors")
{
    for (const auto& row : descriptorCases) {
        CAPTURE(std::string(row.name));
        IntakeSettings settings;
        settings.descriptors = row.setting;
        CHECK(callerDescriptorLimit(settings, row.processLimit) == row.expected);
    }
}

struct ReturnStep {
    std::chrono::milliseconds time;
    std::size_t buffered;
    std::size_t peak;
    bool isDue;
};

// Guards against memory that stays with the process after a burst, and against returning it all the time.
TEST_CASE("memory is returned once after the buffers have shrunk, at most once a second")
{
    const ReturnStep steps[] = {
        { 0ms, 0, 0, false },
        { 500ms, 90, 100, false },
        { 1'000ms, 1, 90, true },
        { 1'500ms, 1, 1, false },
        { 1'800ms, 0, 150, false },
        { 2'100ms, 0, 0, true },
        { 9'000ms, 0, 98, false },
        { 9'500ms, 0, 99, true },
    };
    MemoryReturn decision(99);
    MemoryReturn::TimePoint start { 10s };
    for (const auto& step : steps) {
        CAPTURE(step.time.count());
        CHECK(decision.isDue(step.buffered, step.peak, start + step.time) == step.isDue);
    }
}

} // namespace
