#include "configurationcontroller.h"
#include "errors.h"
#include "eventlog.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

constexpr auto outage = 6s;

/** A store that refuses every listing and watch and keeps the times of these calls. */
class RefusingStore : public KeyValueStore {
public:
    explicit RefusingStore(EventLoop& loop)
        : loop(loop)
    {
    }

    auto get(const std::string& /*key*/, EntryHandler /*handler*/) -> void override { }
    auto list(const std::string& /*prefix*/, ListingHandler handler) -> void override { this->refuse(std::move(handler)); }
    auto compareAndSwap(const StoreSwap& /*swap*/, SwapHandler /*handler*/) -> void override { }
    auto watch(const std::string& /*prefix*/, StoreRevision /*after*/, std::chrono::milliseconds /*wait*/, ListingHandler handler) -> void override { this->refuse(std::move(handler)); }
    auto grantLease(std::chrono::milliseconds /*duration*/, LeaseHandler /*handler*/) -> void override { }
    auto renewLease(LeaseId /*lease*/, DoneHandler /*handler*/) -> void override { }
    auto revokeLease(LeaseId /*lease*/, DoneHandler /*handler*/) -> void override { }

    std::vector<EventLoop::TimePoint> calls;

private:
    auto refuse(ListingHandler handler) -> void
    {
        this->calls.push_back(EventLoop::now());
        this->loop.post([handler = std::move(handler)] { handler(make_error_code(Error::ConnectionFailed), {}); });
    }

    EventLoop& loop;
};

auto workspaceRecord() -> std::string
{
    return nlohmann::json { { "revision", 1 }, { "content", { { "key_sha256", std::string(64, '5') } } } }.dump();
}

struct RetryCase {
    const char* name;
    bool hasConfiguration; ///< Whether a configuration is in force, received from a peer.
    std::chrono::milliseconds longestPause; ///< Longest time between two calls of the store.
    std::size_t mostCalls; ///< Largest number of calls in the outage.
};

const RetryCase retryCases[] = {
    { "nothing in force: the node can serve nobody", false, 1200ms, 27 },
    { "a configuration in force: the node serves with it", true, 3500ms, 11 },
};

TEST_CASE("a node without a configuration soon finds that the store is back")
{
    const EventLog log("error");
    for (const auto& row : retryCases) {
        CAPTURE(std::string(row.name));
        EventLoop loop;
        RefusingStore store(loop);
        Blackboard blackboard;
        ConfigurationController controller(loop, store, blackboard, log, { .watch = 1s });
        if (row.hasConfiguration)
            controller.applyFromPeer({ { { "config/workspaces/a", workspaceRecord(), 10 } }, 10 });
        const auto end = EventLoop::now() + outage;
        controller.begin();
        while (EventLoop::now() < end)
            loop.runOnce();

        auto moments = store.calls;
        moments.push_back(end);
        EventLoop::TimePoint::duration longestPause { 0 };
        for (std::size_t index = 1; index < moments.size(); ++index)
            longestPause = std::max(longestPause, moments[index] - moments[index - 1]);
        CHECK(longestPause <= row.longestPause);
        CHECK(store.calls.size() <= row.mostCalls);
    }
}

} // namespace
