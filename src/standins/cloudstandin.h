#pragma once

#include "address.h"
#include "eventloop.h"
#include "faults.h"
#include "httpserver.h"

#include <map>
#include <memory>
#include <string>

namespace Primrosefork {

/**
 * Stand-in of the cloud's API that announces the reclaim of instances.
 *
 * POST /control takes the fields of Faults, "reclaim" (a list of instances that get
 * a reclaim notice) and "remaining_ms" (the time until their reclaim).
 */
class CloudStandin {
public:
    explicit CloudStandin(EventLoop&);

    auto listen(const Address&) -> std::error_code;

private:
    auto handle(const std::shared_ptr<HttpExchange>&) -> void;
    auto control(const std::string& body) -> void;

    EventLoop& loop;
    HttpServer server;
    Faults faults;
    std::map<std::string, EventLoop::TimePoint> notices; ///< Time of the reclaim by instance id.
};

} // namespace Primrosefork
