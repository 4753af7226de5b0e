#include "eventlog.h"
#include "metrics.h"
#include "sharedloadcontroller.h"

#include <doctest/doctest.h>
#include <list>
#include <nlohmann/json.hpp>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

auto makeSettings(const std::string& id, bool isShared) -> GatewaySettings
{
    GatewaySettings settings;
    settings.id = id;
    settings.zone = "a";
    settings.sharesLoad = isShared;
    return settings;
}

/** A node's part in the exchange of loads, whose messages the test passes on. */
struct Node {
    Node(const std::string& id, bool isShared)
        : settings(makeSettings(id, isShared))
    {
        BackendServer server;
        server.id = "s1";
        server.pool = "llm";
        server.zone = "a";
        this->servers.write({ { "s1", server } });
    }

    /** Sends a report to \a leader by its encoding, and applies the leader's answer. */
    auto exchange(Node& leader) -> void
    {
        FleetMessage message;
        message.report.emplace().zone = "a";
        message.report->services.push_back({ "llm", 0, 0, 4, 2, 0, 2.5 });
        this->loads.addToReport(*message.report, { { loadKeyOf("s1"), 4, 700 } });
        leader.loads.reportReceived(this->settings.id, *decodeFleetMessage(encodeFleetMessage(message))->report);
        FleetMessage answer;
        leader.loads.addToAnswer(answer.answer.emplace(), this->settings.id);
        this->loads.applyAnswer(*decodeFleetMessage(encodeFleetMessage(answer))->answer, 5ms);
    }

    GatewaySettings settings;
    GatewayBoard board;
    Metrics metrics;
    EventLog log { "error" };
    SharedLoadController loads { this->settings, this->board, this->metrics, this->log };
    SectionWriter<BackendServers> servers { this->board.backendServers.acquireWriter("test") };
    SectionWriter<Leadership> leadership { this->board.leadership.acquireWriter("test") };
};

/** Which of the leader and the nodes have the setting, and whether a node gets the others' loads. */
struct SettingCase {
    const char* name;
    bool leaderShares;
    bool nodesShare;
    bool isKnown;
};

const SettingCase settingCases[] = {
    { "all nodes share", true, true, true },
    { "the leader does not", false, true, false },
    { "the nodes do not", true, false, false },
};

TEST_CASE("nodes know the load of the others when they and the leader share it")
{
    for (const auto& row : settingCases) {
        CAPTURE(row.name);
        Node leader("leader", row.leaderShares);
        Leadership leadership;
        leadership.isCoordinator = true;
        leader.leadership.write(leadership);
        std::list<Node> nodes;
        for (const auto* id : { "n1", "n2", "n3", "n4" }) {
            nodes.emplace_back(id, row.nodesShare);
            nodes.back().exchange(leader);
        }
        CHECK_FALSE(nodes.back().loads.view().reportedAt().has_value());
        leader.loads.updateAccount(4);
        auto& node = nodes.front();
        node.exchange(leader);
        const auto others = node.loads.view().othersAt(node.board.backendServers.value().at("s1"), EventLoop::now());
        REQUIRE(others.has_value() == row.isKnown);
        CHECK(node.metrics.counter("shared_load_answers_total") == (row.isKnown ? 1 : 0));
        if (!others)
            continue;
        CHECK(others->openRequests == 12);
        CHECK(others->pendingPrefillTokens == 2'100);
        CHECK(node.loads.view().demandShare("llm", EventLoop::now()) == 0.25);
        CHECK(node.loads.view().room("llm", "a", EventLoop::now())->waitingRequests == 8);
        CHECK(leader.loads.dumpState()["account"]["complete"] == true);
    }
}

} // namespace
