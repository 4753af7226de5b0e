#include "eventlog.h"
#include "httpclient.h"
#include "metadatastore.h"
#include "metrics.h"
#include "quarantinecontroller.h"
#include "serverlimitcontroller.h"
#include "sharedloadcontroller.h"

#include <doctest/doctest.h>
#include <thread>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t firstFence = 7;
constexpr std::uint64_t secondFence = 9;
constexpr auto gatherTime = 1'300ms; ///< Time after which a new leader counts what it knows as complete.

struct ReturnCase {
    const char* name;
    std::uint64_t coordinationFence; ///< Fence with which the coordination began, after the node leads again.
    bool isContinued; ///< Whether the node goes on with what it knew.
};

const ReturnCase returnCases[] = {
    { "no other node can have led", firstFence, true },
    { "another node may have led, unseen", secondFence, false },
};

/** Returns the leadership of this node with \a fence, or its vacancy. */
auto leadership(std::uint64_t fence, std::uint64_t coordinationFence, bool isVacant = false) -> Leadership
{
    Leadership current;
    current.isOwn = !isVacant;
    current.term = isVacant ? 0 : fence;
    current.fence = fence;
    current.isCoordinator = true;
    current.coordinationFence = coordinationFence;
    return current;
}

/** The board of a node that leads, loses the leadership and leads again. */
struct LeadingNode {
    LeadingNode()
    {
        BackendServer server;
        server.id = "s1";
        server.pool = "llm";
        server.zone = "a";
        this->settings.zone = "a";
        this->settings.sharesLoad = true;
        this->servers.write({ { "s1", server } });
    }

    auto leadAgain(const ReturnCase& row) -> void
    {
        this->leaderships.write(leadership(firstFence, firstFence, true));
        this->leaderships.write(leadership(secondFence, row.coordinationFence));
    }

    GatewaySettings settings;
    GatewayBoard board;
    Metrics metrics;
    EventLog log { "error" };
    SectionWriter<BackendServers> servers { this->board.backendServers.acquireWriter("test") };
    SectionWriter<Leadership> leaderships { this->board.leadership.acquireWriter("test") };
};

// Guards against limits that nodes drop because a leader, which another one has replaced meanwhile, takes its own for all.
TEST_CASE("a leader that leads again gathers the limits of servers anew if another may have led")
{
    for (const auto& row : returnCases) {
        CAPTURE(row.name);
        LeadingNode node;
        ServerLimitController limits("leader", node.board, node.metrics, node.log);
        node.leaderships.write(leadership(firstFence, firstFence));
        const auto isComplete = [&limits] {
            limits.reportReceived("n1", {});
            FleetAnswer answer;
            limits.addToAnswer(answer, "n1");
            return answer.hasAllLimits;
        };
        CHECK_FALSE(isComplete());
        std::this_thread::sleep_for(gatherTime);
        CHECK(isComplete());
        node.leadAgain(row);
        CHECK(isComplete() == row.isContinued);
    }
}

// Guards against rooms that seem free because only few nodes have reported to a leader that leads again.
TEST_CASE("a leader that leads again gathers the load anew if another may have led")
{
    for (const auto& row : returnCases) {
        CAPTURE(row.name);
        LeadingNode node;
        SharedLoadController loads(node.settings, node.board, node.metrics, node.log);
        node.leaderships.write(leadership(firstFence, firstFence));
        for (const auto* id : { "n1", "n2", "n3", "n4" }) {
            NodeReport report;
            report.zone = "a";
            report.loads.emplace().push_back({ loadKeyOf("s1"), 4, 700 });
            loads.reportReceived(id, report);
        }
        loads.updateAccount(4);
        CHECK(loads.account().isComplete());
        node.leadAgain(row);
        loads.updateAccount(4);
        CHECK(loads.account().isComplete() == row.isContinued);
    }
}

// Guards against parts that crash servers and are released because a leader, which another one has replaced meanwhile, does not know them.
TEST_CASE("a leader that leads again gathers the quarantined parts anew if another may have led")
{
    EventLoop loop;
    HttpClient client(loop);
    MetadataStore store(client, { "127.0.0.1", 18301 }, 500ms);
    for (const auto& row : returnCases) {
        CAPTURE(row.name);
        LeadingNode node;
        QuarantineController quarantines(store, node.metrics, node.log);
        std::chrono::steady_clock::time_point now {};
        const auto report = [&](const std::vector<PromptEvidence>& evidence) {
            quarantines.reportReceived("n1", evidence, now);
            FleetAnswer answer;
            quarantines.addToAnswer(answer, now);
            return answer;
        };
        quarantines.coordinationBegan(firstFence);
        CHECK_FALSE(report({}).hasAllQuarantines);
        now += gatherTime;
        CHECK(report({}).hasAllQuarantines);
        now += 5s;
        quarantines.coordinationBegan(row.coordinationFence);
        // The node has learned of the part from the other leader.
        PromptEvidence evidence;
        evidence.service = "llm";
        evidence.quarantined.push_back({ 0xdead, 10s });
        const auto answer = report({ evidence });
        CHECK(answer.hasAllQuarantines == row.isContinued);
        const auto isKnown = !answer.prompts.empty() && !answer.prompts.front().quarantined.empty();
        CHECK(isKnown == !row.isContinued);
    }
}

} // namespace
