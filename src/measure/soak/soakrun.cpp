#include "soakrun.h"

#include "messages.h"
#include "scratch.h"

#include <algorithm>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork::Measure {

namespace {

constexpr auto pollPeriod = 5ms;
constexpr auto startLimit = 20s;
constexpr std::uint16_t storePort = 9'000;
constexpr std::uint16_t fleetPort = 9'001;
constexpr std::uint16_t firstEntrance = 9'100;
constexpr std::uint16_t firstServerPort = 10'000;
constexpr std::size_t firstNodeByte = 10; ///< Last byte of the address of the first node.

} // namespace

SoakRun::SoakRun(const SoakOptions& options)
    : options(options)
    , network(Testkit::uniqueNetwork())
    , logFolder(Testkit::makeTemporaryFolder())
    , promises(this->bounds)
    , store(this->loop, { this->network + "1", storePort }, { this->network + "1", fleetPort })
    , incarnations(options.plan.servers)
    , faults(makePlan(options.plan))
    , turnedAway(options.plan.nodes)
    , successes(options.plan.nodes)
    , timer(this->loop, [this] { this->poll(); })
{
    this->store.leasesExpire = true;
    this->writeConfiguration(0);
    for (std::size_t index = 0; index < options.plan.servers; ++index) {
        this->servers.push_back(std::make_unique<Testkit::FaultyServer>(
            this->loop, Address { this->network + "2", static_cast<std::uint16_t>(firstServerPort + index) }, "server-" + std::to_string(index), *this));
        this->links.push_back(std::make_unique<Testkit::LinkProxy>(
            this->loop, Address { this->network + "3", static_cast<std::uint16_t>(firstServerPort + index) }, this->servers.back()->address()));
        this->links.back()->requestHarmed = [this](const std::string& bytes) { this->requestHarmed(Testkit::requestIdOf(bytes)); };
        this->registerServer(index, "ready");
    }
    for (std::size_t node = 0; node < options.plan.nodes; ++node) {
        this->store.addEntrance(this->entranceOf(node));
        this->nodes.push_back(std::make_unique<SoakNode>(this->promises, node, this->network + std::to_string(firstNodeByte + node), this->logFolder,
            SoakNode::Systems { this->entranceOf(node), { this->network + "1", fleetPort } }, this->bounds));
        for (std::size_t index = 0; index <= options.callersPerNode; ++index) {
            const auto name = "c" + std::to_string(node) + "." + std::to_string(index);
            const auto credential = index == options.callersPerNode ? SoakCaller::Credential::OfVersion : SoakCaller::Credential::Own;
            this->callers.push_back(std::make_unique<SoakCaller>(
                this->loop, this->promises, *this, node, this->nodes.back()->callers(), name, makeGenerator(options.plan.seed, name), credential));
            this->callerNodes.push_back(node);
        }
    }
}

SoakRun::~SoakRun()
{
    this->callers.clear();
    this->nodes.clear();
}

auto SoakRun::now() const -> Time
{
    return std::chrono::duration_cast<Time>(EventLoop::now() - this->zero);
}

auto SoakRun::entranceOf(std::size_t node) const -> Address
{
    return { this->network + "1", static_cast<std::uint16_t>(firstEntrance + node) };
}

auto SoakRun::serviceOf(std::size_t server) const -> std::string
{
    return server % 2 == 0 ? "app" : "llm";
}

auto SoakRun::later(Time delay, std::function<void()> task) -> void
{
    this->actions.push_back({ this->now() + delay, std::move(task) });
}

auto SoakRun::run() -> bool
{
    for (const auto& node : this->nodes)
        node->start();
    this->zero = EventLoop::now() + startLimit;
    this->timer.startRepeating(pollPeriod);
    this->loop.run();
    this->timer.stop();
    return this->nextFault == this->faults.size() && this->now() >= this->options.plan.length;
}

auto SoakRun::haveAllServed() const -> bool
{
    return std::all_of(this->successes.begin(), this->successes.end(), [](const Successes& kinds) { return std::all_of(kinds.begin(), kinds.end(), [](const auto& time) { return time.has_value(); }); });
}

auto SoakRun::poll() -> void
{
    const auto time = this->now();
    for (const auto& node : this->nodes)
        node->poll(time);
    for (std::size_t index = 0; index < this->callers.size(); ++index)
        this->callers[index]->poll({ this->nodes[this->callerNodes[index]]->takesConnections(time), this->sendsDeadly, this->version }, time);
    if (time < 0ms) {
        if (this->haveAllServed())
            this->zero = EventLoop::now();
        return;
    }
    if (!this->haveAllServed() && this->nextFault == 0 && !this->quietSince)
        return this->loop.stop();
    this->pollFaults(time);
    this->pollCalm(time);
    if (time < this->options.plan.length)
        return;
    this->endCalm(time);
    this->loop.stop();
}

auto SoakRun::pollFaults(Time time) -> void
{
    for (const auto& action : std::exchange(this->actions, {})) {
        if (time >= action.at)
            action.task();
        else
            this->actions.push_back(action);
    }
    for (; this->nextFault < this->faults.size() && this->faults[this->nextFault].at <= time; ++this->nextFault)
        this->begin(this->faults[this->nextFault]);
    this->updateStore();
}

auto SoakRun::pollCalm(Time time) -> void
{
    const auto isFaultTime = time % blockLength < faultTime;
    const auto isQuiet = !isFaultTime && this->actions.empty() && std::all_of(this->nodes.begin(), this->nodes.end(), [](const auto& node) { return node->isUp(); });
    if (!isQuiet)
        return this->endCalm(time);
    if (!this->quietSince) {
        this->quietSince = time;
        this->isRecoveryReported = false;
        this->successes.assign(this->nodes.size(), {});
        this->promises.calmBegan(time + this->bounds.recovery);
    }
    if (this->isRecoveryReported || !this->haveAllServed())
        return;
    this->isRecoveryReported = true;
    this->promises.recovered(true, time - *this->quietSince);
    this->measureNodes();
}

auto SoakRun::endCalm(Time time) -> void
{
    if (!this->quietSince)
        return;
    this->promises.calmEnded();
    if (!this->isRecoveryReported)
        this->promises.recovered(false, time - *this->quietSince);
    this->measureNodes();
    this->quietSince.reset();
}

auto SoakRun::measureNodes() -> void
{
    for (const auto& node : this->nodes)
        node->measure();
}

auto SoakRun::writeConfiguration(std::size_t moreWorkspaces) -> void
{
    ++this->version;
    this->store.put(Testkit::configurationKey(), Testkit::configurationDocument(this->version, R"(["k1","v-)" + std::to_string(this->version) + "\"]", moreWorkspaces));
    this->promises.configurationWritten(this->version, this->now());
}

auto SoakRun::registerServer(std::size_t index, const char* state) -> void
{
    const auto more = R"(,"born":)" + std::to_string(1'000 + this->incarnations[index]);
    this->store.put(Testkit::registrationKey(this->servers[index]->id()),
        Testkit::registrationDocument(this->serviceOf(index), this->links[index]->address().toString(), state, more));
}

auto SoakRun::requestArrived(const std::string& server, const std::string& request) -> void
{
    this->promises.requestArrived(server, request, this->now());
}

auto SoakRun::requestRan(const std::string& server, const std::string& request) -> void
{
    this->promises.requestRan(server, request, this->now());
}

auto SoakRun::requestHarmed(const std::string& request) -> void
{
    this->promises.requestHarmed(request);
}

auto SoakRun::pauseAsked(const std::string& server, const std::string& request, std::chrono::milliseconds pause) -> void
{
    this->promises.pauseAsked(server, request, pause, this->now());
}

auto SoakRun::leavingSaid(const std::string& server, const std::string& request) -> void
{
    this->promises.leavingSaid(server, request, this->now());
}

auto SoakRun::callSucceeded(std::size_t node, CallKind kind, Time sentAt) -> void
{
    auto& first = this->successes[node][static_cast<std::size_t>(kind)];
    if (!first && (!this->quietSince || sentAt >= *this->quietSince))
        first = sentAt;
}

} // namespace Primrosefork::Measure
