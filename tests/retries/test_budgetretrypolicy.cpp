#include "budgetretrypolicy.h"

#include <doctest/doctest.h>
#include <map>
#include <random>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

using TimePoint = RetryPolicy::TimePoint;

struct DelayCase {
    const char* name;
    int failedAttempts;
    std::chrono::milliseconds untilDeadline;
    bool hasDelivered;
    bool isRetried;
    std::chrono::milliseconds least;
    std::chrono::milliseconds most;
};

const DelayCase delayCases[] = {
    { "first retry", 1, 60s, false, true, 5ms, 10ms },
    { "second retry", 2, 60s, false, true, 10ms, 20ms },
    { "fifth retry", 5, 60s, false, true, 80ms, 160ms },
    { "longest backoff", 15, 60s, false, true, 1000ms, 2000ms },
    { "deadline before the delay", 1, 4ms, false, false, 0ms, 0ms },
    { "attempts used up", 20, 60s, false, false, 0ms, 0ms },
    { "stream that has begun", 2, 60s, true, true, 10ms, 20ms },
};

TEST_CASE("delays grow with the failed attempts and respect the deadline")
{
    for (const auto& row : delayCases) {
        CAPTURE(std::string(row.name));
        BudgetRetryPolicy policy(1);
        const TimePoint now { 1h };

        const auto delay = policy.retryDelay({ row.failedAttempts, now + row.untilDeadline, row.hasDelivered }, now);

        CHECK(delay.has_value() == row.isRetried);
        if (delay) {
            CHECK(*delay >= row.least);
            CHECK(*delay <= row.most);
        }
    }
}

TEST_CASE("delays of nodes differ")
{
    BudgetRetryPolicy first(1);
    BudgetRetryPolicy second(2);
    const TimePoint now { 1h };
    int different = 0;
    for (int failed = 3; failed < 8; ++failed)
        different += first.retryDelay({ failed, now + 60s, true }, now) == second.retryDelay({ failed, now + 60s, true }, now) ? 0 : 1;
    CHECK(different >= 3);
}

struct SpentCase {
    const char* name;
    bool hasDelivered;
    std::chrono::milliseconds untilDeadline;
    bool isRetried;
    std::chrono::milliseconds least;
};

const SpentCase spentCases[] = {
    { "fresh attempt waits for the budget", false, 60s, true, 1900ms },
    { "fresh attempt that cannot wait ends", false, 1s, false, 0ms },
    { "stream that has begun goes on", true, 1s, true, 0ms },
};

TEST_CASE("a spent budget delays fresh attempts and not streams under way")
{
    for (const auto& row : spentCases) {
        CAPTURE(std::string(row.name));
        BudgetRetryPolicy policy(1);
        const TimePoint now { 1h };
        for (int retry = 0; retry < 5; ++retry)
            REQUIRE(policy.retryDelay({ 1, now + 60s, false }, now));

        const auto delay = policy.retryDelay({ 1, now + row.untilDeadline, row.hasDelivered }, now);

        CHECK(delay.has_value() == row.isRetried);
        if (delay)
            CHECK(*delay >= row.least);
    }
}

struct ShareCase {
    const char* name;
    int failingPercent; ///< Of all attempts.
    int requestsPerSecond;
};

const ShareCase shareCases[] = {
    { "no failures", 0, 100 },
    { "three in ten attempts fail, much traffic", 30, 200 },
    { "three in ten attempts fail, little traffic", 30, 20 },
    { "all attempts fail", 100, 100 },
};

TEST_CASE("attempts stay within 1.1 times the accepted requests")
{
    for (const auto& row : shareCases) {
        CAPTURE(std::string(row.name));
        BudgetRetryPolicy policy(7);
        std::minstd_rand random(11);
        std::multimap<TimePoint, int> due; // Failed attempts of requests by the moment of their next one.
        const TimePoint start { 1h };
        int accepted = 0;
        int attempts = 0;
        const auto attempt = [&](int failed, TimePoint now) {
            ++attempts;
            if (static_cast<int>(random() % 100) >= row.failingPercent)
                return;
            if (const auto delay = policy.retryDelay({ failed + 1, now + 30s, false }, now))
                due.emplace(now + *delay, failed + 1);
        };
        const auto pause = std::chrono::milliseconds(1000 / row.requestsPerSecond);
        for (auto now = start; now < start + 120s; now += pause) {
            while (!due.empty() && due.begin()->first <= now) {
                const auto failed = due.begin()->second;
                due.erase(due.begin());
                attempt(failed, now);
            }
            policy.requestAccepted(now);
            ++accepted;
            attempt(0, now);
        }
        CHECK(attempts >= accepted);
        // Beside the share there is a small floor that does not grow with the traffic: 5 at first and one in 2 s.
        CHECK(attempts <= accepted * 11 / 10 + 65);
    }
}

} // namespace
