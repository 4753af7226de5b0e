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
 * Stands in for the cloud's interface to reclaimable instances.
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
    std::map<std::string, EventLoop::TimePoint> notices; ///< The moment of the reclaim by instance.
};

} // namespace Primrosefork
