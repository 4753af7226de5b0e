#include "messages.h"
#include "soakrun.h"

#include <algorithm>
#include <optional>

using namespace std::chrono_literals;

namespace Primrosefork::Measure {

namespace {

using Testkit::ServerFault;
using Treatment = Testkit::StoreStandIn::Treatment;

constexpr auto returnDelay = 1s; ///< Until a server that has left is registered as a new one.
constexpr auto slowAnswer = 600ms;
constexpr std::size_t largeWorkspaces = 4'000;

constexpr std::size_t crowdedSlots = 1; ///< Of each plain server, while the callers crowd in.

struct LinkTrouble {
    const char* kind;
    Testkit::LinkFault fault;
};

constexpr LinkTrouble linkTroubles[] = {
    { "link-delay", Testkit::LinkFault::Delays },
    { "hold-requests", Testkit::LinkFault::HoldsRequests },
    { "hold-answers", Testkit::LinkFault::HoldsAnswers },
};

struct Misbehaviour {
    const char* kind;
    ServerFault fault;
};

constexpr Misbehaviour misbehaviours[] = {
    { "say-leaving", ServerFault::SaysLeaving },
    { "ask-pause", ServerFault::AsksPause },
    { "silent", ServerFault::Silent },
    { "repeat-answers", ServerFault::RepeatsAnswers },
    { "cut-answers", ServerFault::CutsAnswers },
    { "endless", ServerFault::SendsEndless },
    { "lose-answers", ServerFault::LosesAnswers },
};

auto targetOf(const std::string& name) -> FaultTarget
{
    const auto& kinds = faultKinds();
    return std::find_if(kinds.begin(), kinds.end(), [&name](const auto& kind) { return kind.name == name; })->target;
}

} // namespace

auto SoakRun::begin(const PlannedFault& fault) -> void
{
    ++this->counts[fault.kind];
    switch (targetOf(fault.kind)) {
    case FaultTarget::Node:
        return this->beginNodeFault(fault);
    case FaultTarget::Store:
        return this->beginStoreFault(fault);
    case FaultTarget::Server:
        return this->beginServerFault(fault);
    case FaultTarget::Operator:
        return this->writeConfiguration(fault.kind == "large-change" ? largeWorkspaces : 0);
    case FaultTarget::Load:
        if (fault.kind == "crowd") {
            for (const auto& server : this->servers)
                server->setSlots(crowdedSlots);
            return this->later(fault.duration, [this] {
                for (const auto& server : this->servers)
                    server->setSlots(0);
            });
        }
        this->sendsDeadly = true;
        return this->later(fault.duration, [this] { this->sendsDeadly = false; });
    }
}

auto SoakRun::beginNodeFault(const PlannedFault& fault) -> void
{
    const auto index = fault.target;
    auto* node = this->nodes[index].get();
    if (fault.kind == "turn-away") {
        this->turnedAway[index] = true;
        return this->later(fault.duration, [this, index] { this->turnedAway[index] = false; });
    }
    if (!node->isUp())
        return;
    if (fault.kind == "stop")
        return node->stop(this->now(), fault.duration);
    if (fault.kind == "kill")
        return node->kill(this->now(), fault.duration);
    if (fault.kind == "reload")
        return node->reload();
    node->freeze(this->now());
    this->later(fault.duration, [this, node] { node->thaw(this->now()); });
}

auto SoakRun::beginStoreFault(const PlannedFault& fault) -> void
{
    if (fault.kind == "store-away") {
        this->isStoreAway = true;
        return this->later(fault.duration, [this] { this->isStoreAway = false; });
    }
    if (fault.kind == "store-silent") {
        this->isStoreSilent = true;
        return this->later(fault.duration, [this] { this->isStoreSilent = false; });
    }
    if (fault.kind == "store-slow") {
        this->store.answerDelay = slowAnswer;
        return this->later(fault.duration, [this] { this->store.answerDelay = 0ms; });
    }
    if (fault.kind == "lost-writes") {
        this->store.dropsWriteAnswers = true;
        return this->later(fault.duration, [this] { this->store.dropsWriteAnswers = false; });
    }
    this->store.abortWatches();
}

auto SoakRun::beginServerFault(const PlannedFault& fault) -> void
{
    const auto index = fault.target;
    auto* server = this->servers[index].get();
    if (fault.kind == "crash") {
        this->crashServer(index);
        return this->later(fault.duration, [this, index] {
            this->startServer(index);
            this->registerServer(index, "ready");
        });
    }
    if (this->beginLinkFault(fault))
        return;
    if (fault.kind == "leave") {
        this->registerServer(index, "draining");
        this->promises.serverLeft(server->id(), this->now());
        return this->later(fault.duration, [this, index] { this->replaceServer(index); });
    }
    for (const auto& misbehaviour : misbehaviours) {
        if (fault.kind == misbehaviour.kind)
            server->setFault(misbehaviour.fault);
    }
    if (fault.kind == "say-leaving")
        return this->later(fault.duration, [this, index] { this->replaceServer(index); });
    this->later(fault.duration, [server] { server->setFault(ServerFault::None); });
}

auto SoakRun::beginLinkFault(const PlannedFault& fault) -> bool
{
    auto* link = this->links[fault.target].get();
    const auto* trouble = std::find_if(std::begin(linkTroubles), std::end(linkTroubles), [&fault](const auto& entry) { return fault.kind == entry.kind; });
    if (fault.kind != "reset-link" && trouble == std::end(linkTroubles))
        return false;
    this->servers[fault.target]->harmRecent();
    if (fault.kind == "reset-link") {
        link->reset();
        return true;
    }
    link->setFault(trouble->fault);
    this->later(fault.duration, [link] { link->setFault(Testkit::LinkFault::None); });
    return true;
}

auto SoakRun::crashServer(std::size_t index) -> void
{
    this->links[index]->stop();
    this->servers[index]->crash();
}

auto SoakRun::startServer(std::size_t index) -> void
{
    ++this->incarnations[index];
    this->servers[index]->start();
    this->links[index]->start();
}

auto SoakRun::replaceServer(std::size_t index) -> void
{
    auto* server = this->servers[index].get();
    this->crashServer(index);
    server->setFault(ServerFault::None);
    this->store.remove(Testkit::registrationKey(server->id()));
    this->later(returnDelay, [this, index, server] {
        this->startServer(index);
        this->promises.serverReturned(server->id());
        this->registerServer(index, "ready");
    });
}

auto SoakRun::updateStore() -> void
{
    auto isReachable = false;
    for (std::size_t node = 0; node < this->nodes.size(); ++node) {
        const auto treatment = this->isStoreAway || this->turnedAway[node] ? Treatment::Refused : this->isStoreSilent ? Treatment::Ignored
                                                                                                                      : Treatment::Served;
        this->store.treat(this->entranceOf(node), treatment);
        isReachable = isReachable || (treatment == Treatment::Served && this->nodes[node]->isUp());
    }
    const auto isDisturbed = !isReachable || this->store.answerDelay > 0ms;
    if (isDisturbed == this->isStoreDisturbed)
        return;
    this->isStoreDisturbed = isDisturbed;
    isDisturbed ? this->promises.disturbanceBegan(PromiseLedger::store, this->now()) : this->promises.disturbanceEnded(PromiseLedger::store, this->now());
}

} // namespace Primrosefork::Measure
