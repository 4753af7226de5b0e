#include "backendcontroller.h"

#include "eventlog.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace Primrosefork {

BackendController::BackendController(EventLoop& loop, InstanceList& instanceList, Blackboard& blackboard, const EventLog& log,
    std::chrono::milliseconds period)
    : instanceList(instanceList)
    , servers(blackboard.backendServers.acquireWriter("BackendController"))
    , log(log)
    , period(period)
    , timer(loop, [this] { this->fetch(); })
{
}

auto BackendController::begin() -> void
{
    this->fetch();
}

auto BackendController::fetch() -> void
{
    this->instanceList.fetch([this](std::error_code error, const BackendServers& next) { this->received(error, next); });
}

auto BackendController::received(std::error_code error, const BackendServers& next) -> void
{
    this->timer.start(this->period);
    if (error) {
        if (std::exchange(this->isAvailable, false))
            this->log.write(Event::InstanceListUnavailable, { { "error", error.message() } });
        return;
    }
    this->isAvailable = true;
    if (next == this->servers.value())
        return;
    this->logChanges(next);
    this->servers.write(next);
}

auto BackendController::logChanges(const BackendServers& next) -> void
{
    const auto& current = this->servers.value();
    for (const auto& [id, server] : next) {
        const auto found = current.find(id);
        if (found == current.end())
            this->log.write(Event::BackendAdded, { { "backend_server", id }, { "zone", server.zone }, { "address", server.address.toString() } });
        else if (found->second.state == InstanceState::Live && server.state == InstanceState::Leaving)
            this->log.write(Event::BackendLeaving, { { "backend_server", id } });
    }
    for (const auto& [id, server] : current) {
        if (!next.contains(id))
            this->log.write(Event::BackendRemoved, { { "backend_server", id } });
    }
}

auto BackendController::dumpState() const -> nlohmann::json
{
    auto list = nlohmann::json::array();
    for (const auto& [id, server] : this->servers.value()) {
        list.push_back({ { "id", id }, { "address", server.address.toString() }, { "zone", server.zone }, { "pool", server.pool },
            { "model", server.model }, { "version", server.version }, { "state", server.state == InstanceState::Live ? "live" : "leaving" } });
    }
    return list;
}

} // namespace Primrosefork
