#pragma once

#include "address.h"
#include "eventloop.h"
#include "faults.h"
#include "httpserver.h"

#include <chrono>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>

namespace Primrosefork {

/**
 * Stand-in of the platform's instance list, which shows each change after a lag.
 *
 * POST /control takes the fields of Faults, "lag_ms", "remove" (a list of ids) and
 * "put" (a list of entries that are added or updated), and returns the current
 * instances.
 */
class InstanceListStandin {
public:
    InstanceListStandin(EventLoop&, std::chrono::milliseconds lag);

    auto listen(const Address&) -> std::error_code;

    /** Adds the instance that \a entry describes; it is visible at once. */
    auto add(nlohmann::json entry) -> void;

private:
    struct Snapshot {
        EventLoop::TimePoint visibleFrom; ///< Time from which the list shows these instances.
        nlohmann::json instances;
    };

    auto handle(const std::shared_ptr<HttpExchange>&) -> void;
    auto control(const nlohmann::json& body) -> void;
    auto visibleInstances() -> const nlohmann::json&;

    EventLoop& loop;
    HttpServer server;
    Faults faults;
    std::chrono::milliseconds lag; ///< Time between a change and the list that shows it.
    nlohmann::json instances = nlohmann::json::object(); ///< Current entries by id.
    std::deque<Snapshot> snapshots; ///< States of the list, oldest first.
};

} // namespace Primrosefork
