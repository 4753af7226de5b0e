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
 * Stands in for the platform's instance list, with a lag between a change and
 * its being shown.
 */
class InstanceListStandin {
public:
    InstanceListStandin(EventLoop&, std::chrono::milliseconds lag);

    auto listen(const Address&) -> std::error_code;

    /** Adds the instance that \a entry describes, shown at once. */
    auto add(nlohmann::json entry) -> void;

private:
    struct Snapshot {
        EventLoop::TimePoint shownFrom;
        nlohmann::json instances;
    };

    auto handle(const std::shared_ptr<HttpExchange>&) -> void;
    auto control(const nlohmann::json& body) -> void;
    auto shown() -> const nlohmann::json&;

    EventLoop& loop;
    HttpServer server;
    Faults faults;
    std::chrono::milliseconds lag;
    nlohmann::json instances = nlohmann::json::object(); ///< By id, as they are now.
    std::deque<Snapshot> snapshots;
};

} // namespace Primrosefork
