#include "soaknode.h"

#include "scratch.h"

#include <csignal>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork::Measure {

namespace {

constexpr auto balancerDelay = 2s; ///< The balancer asks once a second, and takes a node out after the second refusal.

auto text(PromiseLedger::Time time) -> std::string
{
    return std::to_string(time.count()) + "ms";
}

} // namespace

SoakNode::SoakNode(PromiseLedger& ledger, std::size_t index, const std::string& ip, const std::string& folder, const Systems& systems, const PromiseBounds& bounds)
    : ledger(ledger)
    , index(index)
    , ip(ip)
    , settingsFile(folder + "/" + PromiseLedger::nodeName(index) + ".json")
    , log(folder + "/" + PromiseLedger::nodeName(index) + ".log")
{
    this->settings = { { "interface", "gateway" }, { "node", { { "id", PromiseLedger::nodeName(index) }, { "zone", "a" }, { "region", "r" } } },
        { "listen", { { "callers", this->callers().toString() }, { "readiness", ip + ":8081" }, { "peers", ip + ":8082" }, { "operators", ip + ":8083" } } },
        { "systems", { { "key_value_service", systems.store.toString() }, { "fleet_api", systems.fleet.toString() } } },
        { "bounds", { { "drain", text(bounds.drain) }, { "configuration", text(bounds.configuration) }, { "revocation", text(bounds.revocation) }, { "stop_grace", text(bounds.stopGrace) } } },
        { "admission", { { "enabled", true } } }, { "log_level", "info" } };
    this->writeSettings();
}

auto SoakNode::writeSettings() const -> void
{
    Testkit::writeJson(this->settingsFile, this->settings);
}

auto SoakNode::start() -> void
{
    this->process = std::make_unique<Testkit::Process>(NODE_PROGRAM, std::vector<std::string> { "--settings", this->settingsFile }, this->log);
    this->ledger.nodeStarted(this->index);
    this->phase = Phase::Up;
}

auto SoakNode::stop(Time now, Time pause) -> void
{
    this->ledger.stopRequested(this->index, now);
    this->process->sendSignal(SIGTERM);
    this->phase = Phase::Stopping;
    this->phaseSince = now;
    this->pause = pause;
}

auto SoakNode::kill(Time now, Time pause) -> void
{
    this->ledger.nodeKilled(this->index);
    this->process->sendSignal(SIGKILL);
    this->phase = Phase::Killed;
    this->phaseSince = now;
    this->pause = pause;
}

auto SoakNode::freeze(Time now) -> void
{
    this->ledger.disturbanceBegan(PromiseLedger::nodeName(this->index), now);
    this->process->sendSignal(SIGSTOP);
    this->phase = Phase::Frozen;
}

auto SoakNode::thaw(Time now) -> void
{
    this->process->sendSignal(SIGCONT);
    this->ledger.disturbanceEnded(PromiseLedger::nodeName(this->index), now);
    this->phase = Phase::Up;
}

auto SoakNode::reload() -> void
{
    auto& bounds = this->settings["bounds"];
    const auto isLonger = bounds.value("quota_window", "8s") == "8s";
    bounds["quota_window"] = isLonger ? "10s" : "8s";
    bounds["attempt_slack"] = isLonger ? 40 : 50;
    this->writeSettings();
    this->process->sendSignal(SIGHUP);
}

auto SoakNode::poll(Time now) -> void
{
    if (this->phase == Phase::Away) {
        if (now >= this->phaseSince + this->pause)
            this->start();
        return;
    }
    if (this->process->isRunning())
        return;
    const auto exitCode = this->process->waitForExit(0ms).value_or(-1);
    if (this->phase == Phase::Stopping)
        this->ledger.nodeStopped(this->index, exitCode, now);
    else if (this->phase != Phase::Killed)
        this->ledger.nodeDied(this->index, exitCode, now);
    this->phase = Phase::Away;
    this->phaseSince = now;
}

auto SoakNode::takesConnections(Time now) const -> bool
{
    return this->phase == Phase::Up || this->phase == Phase::Frozen || (this->phase == Phase::Stopping && now < this->phaseSince + balancerDelay);
}

auto SoakNode::measure() -> void
{
    if (this->phase == Phase::Up)
        this->ledger.resourcesMeasured(this->index, this->process->pid(), { this->process->residentBytes(), this->process->descriptorCount(), this->process->threadCount() });
}

} // namespace Primrosefork::Measure
