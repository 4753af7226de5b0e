#include "admissionbenchmark.h"

#include "admissionqueue.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <malloc.h>
#include <memory>
#include <random>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int repeats = 9;
constexpr std::size_t stepsInRepeat = 5'000;
constexpr std::uint32_t workspaces = 200;
constexpr std::uint32_t services = 4;
constexpr std::uint32_t priorities = 10;
constexpr std::uint32_t maxTokens = 20'000;

auto makeWaiting(std::uint64_t id, std::minstd_rand& random, Clock::time_point now) -> WaitingRequest
{
    WaitingRequest request;
    request.id = id;
    request.requestId = "request-" + std::to_string(id);
    request.service = "service-" + std::to_string(random() % services);
    request.workspace = "workspace-" + std::to_string(random() % workspaces);
    request.priority = static_cast<std::int64_t>(random() % priorities);
    request.tokens = static_cast<std::int64_t>(random() % maxTokens);
    request.received = now;
    request.deadline = now + 10s;
    request.latestStart = now + 9s;
    request.objectiveStart = now + 1s;
    return request;
}

} // namespace

auto measureAdmission(std::size_t waiting) -> AdmissionCost
{
    std::minstd_rand random(1);
    Clock::time_point now { 1h };
    std::uint64_t nextId = 0;
    const auto before = mallinfo2().uordblks;
    auto queue = std::make_unique<AdmissionQueue>(waiting + 1, std::size_t { 1 } << 30);
    for (std::size_t index = 0; index < waiting; ++index)
        static_cast<void>(queue->add(makeWaiting(++nextId, random, now), now));
    AdmissionCost cost;
    cost.bytes = static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(waiting);
    std::array<double, repeats> times {};
    for (auto& time : times) {
        const auto start = Clock::now();
        for (std::size_t step = 0; step < stepsInRepeat; ++step) {
            // Requests become late and overdue while the steps go on.
            now += 200us;
            auto next = makeWaiting(++nextId, random, now);
            static_cast<void>(queue->take(next.service, now));
            static_cast<void>(queue->add(next, now));
        }
        const std::chrono::duration<double, std::micro> elapsed = Clock::now() - start;
        time = elapsed.count() / static_cast<double>(stepsInRepeat);
    }
    std::nth_element(times.begin(), times.begin() + repeats / 2, times.end());
    cost.microseconds = times[repeats / 2];
    return cost;
}

} // namespace Primrosefork
