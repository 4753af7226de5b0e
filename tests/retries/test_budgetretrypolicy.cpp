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
    std::chrono::milliseconds minDelay;
    std::chrono::milliseconds maxDelay;
};

const DelayCase delayCases[] = {
    { "first retry", 1, 60s, false, true, 5ms, 10ms },
    { "second retry", 2, 60s, false, true, 10ms, 20ms },
    { "fifth retry", 5, 60s, false, true, 80ms, 160ms },
    { "maximum backoff", 15, 60s, false, true, 1000ms, 2000ms },
    { "deadline before the end of the delay", 1, 4ms, false, false, 0ms, 0ms },
    { "maximum number of attempts reached", 20, 60s, false, false, 0ms, 0ms },
    { "stream with a delivered part", 2, 60s, true, true, 10ms, 20ms },
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
            CHECK(*delay >= row.minDelay);
            CHECK(*delay <= row.maxDelay);
        }
    }
}

TEST_CASE("policies with different seeds give different delays")
{
    BudgetRetryPolicy first(1);
    BudgetRetryPolicy second(2);
    const TimePoint now { 1h };
    int different = 0;
    for (int failed = 3; failed < 8; ++failed)
        different += first.retryDelay({ failed, now + 60s, true }, now) == second.retryDelay({ failed, now + 60s, true }, now) ? 0 : 1;
    CHECK(different >= 3);
}

struct ExhaustedCase {
    const char* name;
    bool hasDelivered;
    std::chrono::milliseconds untilDeadline;
    bool isRetried;
    std::chrono::milliseconds minDelay;
};

const ExhaustedCase exhaustedCases[] = {
    { "nothing delivered: retry waits for the budget", false, 60s, true, 1900ms },
    { "nothing delivered: no retry when the deadline is too early", false, 1s, false, 0ms },
    { "part delivered: retry after the backoff alone", true, 1s, true, 0ms },
};

TEST_CASE("an exhausted budget delays retries but not those of streams with a delivered part")
{
    for (const auto& row : exhaustedCases) {
        CAPTURE(std::string(row.name));
        BudgetRetryPolicy policy(1);
        const TimePoint now { 1h };
        for (int retry = 0; retry < 5; ++retry)
            REQUIRE(policy.retryDelay({ 1, now + 60s, false }, now));

        const auto delay = policy.retryDelay({ 1, now + row.untilDeadline, row.hasDelivered }, now);

        CHECK(delay.has_value() == row.isRetried);
        if (delay)
            CHECK(*delay >= row.minDelay);
    }
}

struct ShareCase {
    const char* name;
    int failingPercent; ///< Percentage of all attempts that fail.
    int requestsPerSecond;
};

const ShareCase shareCases[] = {
    { "no failures", 0, 100 },
    { "three in ten attempts fail, high traffic", 30, 200 },
    { "three in ten attempts fail, low traffic", 30, 20 },
    { "all attempts fail", 100, 100 },
};

TEST_CASE("attempts stay within 1.1 times the accepted requests")
{
    for (const auto& row : shareCases) {
        CAPTURE(std::string(row.name));
        BudgetRetryPolicy policy(7);
        std::minstd_rand random(11);
        std::multimap<TimePoint, int> due; // Number of failed attempts of each waiting request, by the time of its next attempt.
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
        // Some retries are allowed at any traffic: 5 at the start and one every 2 s, which is 65 in 120 s.
        CHECK(attempts <= accepted * 11 / 10 + 65);
    }
}

} // namespace
