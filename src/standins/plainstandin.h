#pragma once

#include "address.h"
#include "eventloop.h"
#include "faults.h"
#include "httpserver.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Primrosefork {

/**
 * Stands in for a booking service: answers every POST after its working time,
 * and counts how often each request key was run.
 */
class PlainStandin {
public:
    PlainStandin(EventLoop&, std::string id, std::chrono::milliseconds workingTime);

    auto listen(const Address&) -> std::error_code;

private:
    auto handle(const std::shared_ptr<HttpExchange>&) -> void;
    auto control(const std::shared_ptr<HttpExchange>&) -> void;
    auto run(const std::shared_ptr<HttpExchange>&) -> void;

    EventLoop& loop;
    HttpServer server;
    std::string id;
    Faults faults;
    bool swallowsAnswers = false; ///< Calls are run and their answers go nowhere.
    std::vector<std::shared_ptr<HttpExchange>> silent; ///< Calls that are never answered.
    std::map<std::string, std::int64_t> runs; ///< How often each key was run.
};

} // namespace Primrosefork
