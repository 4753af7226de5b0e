#include "faultinjector.h"

#include <array>
#include <csignal>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork::Measure {

namespace {

using Json = nlohmann::json;

constexpr auto readyTimeout = 20s;
constexpr int lostStoreReplies = 4;
constexpr int lostServiceAnswers = 2;
constexpr int slowStoreDelayMs = 700;
constexpr int lateReplyDelayMs = 300;

struct FaultName {
    Fault fault;
    const char* name;
};

constexpr std::array faultNames {
    FaultName { Fault::StoreDown, "store down" },
    FaultName { Fault::StoreSlow, "store slow" },
    FaultName { Fault::StoreSilent, "store silent" },
    FaultName { Fault::StoreRepliesLost, "store replies lost" },
    FaultName { Fault::StoreRepliesLate, "store replies late" },
    FaultName { Fault::ServiceAnswersLost, "service answers lost" },
    FaultName { Fault::ServiceSilent, "service silent" },
    FaultName { Fault::ServiceAnswersSwallowed, "service answers swallowed" },
    FaultName { Fault::ServicesLeaving, "services leaving" },
    FaultName { Fault::NodePaused, "node paused" },
    FaultName { Fault::NodeKilled, "node killed" },
};

auto nameOf(Fault fault) -> const char*
{
    for (const auto& entry : faultNames) {
        if (entry.fault == fault)
            return entry.name;
    }
    return "";
}

} // namespace

FaultInjector::FaultInjector(Testkit::Cluster& cluster, std::size_t nodes, std::uint32_t seed)
    : cluster(cluster)
    , nodes(nodes)
    , generator(seed)
{
}

auto FaultInjector::random(std::size_t limit) -> std::size_t
{
    return this->generator() % limit;
}

auto FaultInjector::chooseFaults() -> std::vector<Fault>
{
    std::vector<Fault> chosen;
    const auto count = this->random(3);
    while (chosen.size() < count)
        chosen.push_back(faultNames[this->random(faultNames.size())].fault);
    return chosen;
}

auto FaultInjector::inject(Fault fault) -> void
{
    ++this->faultCounts[nameOf(fault)];
    const auto node = this->random(this->nodes);
    switch (fault) {
    case Fault::StoreDown:
        return this->controlStore({ { "down", true } });
    case Fault::StoreSlow:
        return this->controlStore({ { "delay_ms", slowStoreDelayMs } });
    case Fault::StoreSilent:
        return this->controlStore({ { "silent", true } });
    case Fault::StoreRepliesLost:
        return this->controlStore({ { "lost_replies", lostStoreReplies } });
    case Fault::StoreRepliesLate:
        return this->controlStore({ { "reply_delay_ms", lateReplyDelayMs } });
    case Fault::ServiceAnswersLost:
        return this->controlServices({ { "lost_replies", lostServiceAnswers } });
    case Fault::ServiceSilent:
        return this->controlServices({ { "silent", true } });
    case Fault::ServiceAnswersSwallowed:
        return this->controlServices({ { "swallow_answers", true } });
    case Fault::ServicesLeaving:
        return this->setServicesState("leaving");
    case Fault::NodePaused:
        this->cluster.node(node).sendSignal(SIGSTOP);
        return this->paused.push_back(node);
    case Fault::NodeKilled:
        this->cluster.node(node).sendSignal(SIGKILL);
        return this->killed.push_back(node);
    }
}

auto FaultInjector::resumeNodes() -> void
{
    for (const auto node : std::exchange(this->paused, {}))
        this->cluster.node(node).sendSignal(SIGCONT);
}

auto FaultInjector::clearFaults() -> bool
{
    this->resumeNodes();
    this->controlStore({ { "down", false }, { "delay_ms", 0 }, { "silent", false }, { "lost_replies", 0 }, { "reply_delay_ms", 0 } });
    this->controlServices({ { "lost_replies", 0 }, { "silent", false }, { "swallow_answers", false } });
    this->setServicesState("live");
    for (const auto node : std::exchange(this->killed, {})) {
        if (!this->cluster.node(node).isRunning())
            this->cluster.startNode(node);
    }
    for (std::size_t node = 0; node < this->nodes; ++node) {
        if (!this->cluster.waitUntilReady(node, readyTimeout))
            return false;
    }
    return true;
}

auto FaultInjector::controlStore(const Json& body) -> void
{
    this->cluster.control(this->cluster.keyValueService(), body);
}

auto FaultInjector::controlServices(const Json& body) -> void
{
    for (std::size_t index = 0; index < this->cluster.plainServiceCount(); ++index)
        this->cluster.control(this->cluster.plainServiceAddress(index), body);
}

auto FaultInjector::setServicesState(const char* state) -> void
{
    auto entries = Json::array();
    for (std::size_t index = 0; index < this->cluster.plainServiceCount(); ++index)
        entries.push_back({ { "id", Testkit::Cluster::plainServiceId(index) }, { "state", state } });
    this->cluster.control(this->cluster.instanceList(), { { "put", entries } });
}

} // namespace Primrosefork::Measure
