#pragma once

#include "blackboard.h"
#include "eventloop.h"
#include "instancelist.h"
#include "statesource.h"

#include <chrono>

namespace Primrosefork {

class EventLog;

/**
 * Polls the instance list and publishes the backend servers in it. While the
 * list is unavailable, the servers of the last answer stay in use.
 */
class BackendController : public StateSource {
public:
    BackendController(EventLoop&, InstanceList&, Blackboard&, const EventLog&, std::chrono::milliseconds period);

    auto begin() -> void;

    [[nodiscard]] auto stateName() const -> std::string override { return "backend_servers"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto fetch() -> void;
    auto received(std::error_code, const BackendServers&) -> void;
    auto logChanges(const BackendServers& next) -> void;

    InstanceList& instanceList;
    SectionWriter<BackendServers> servers;
    const EventLog& log;
    std::chrono::milliseconds period;
    Timer timer;
    bool isAvailable = true;
};

} // namespace Primrosefork
