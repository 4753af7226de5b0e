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
 * Stand-in of a booking service: answers every POST after its working time, and
 * counts how often each request key was run.
 *
 * POST /control takes the fields of Faults and "swallow_answers", and returns the
 * counts.
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
    bool dropsAnswers = false; ///< Calls are run and never answered.
    std::vector<std::shared_ptr<HttpExchange>> unanswered; ///< Calls that are kept open without an answer.
    std::map<std::string, std::int64_t> runs; ///< Number of runs by request key.
};

} // namespace Primrosefork
