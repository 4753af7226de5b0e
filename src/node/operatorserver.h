#pragma once

#include "eventloop.h"
#include "httpserver.h"

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace Primrosefork {

class Metrics;
class StateSource;
struct NodeSettings;

/**
 * The operators' port: metrics, the state dump and the administration API,
 * behind an operator's credential. docs/OPERATORS.md has the calls.
 */
class OperatorServer {
public:
    OperatorServer(EventLoop&, const NodeSettings&, const Metrics&);

    auto addSource(const StateSource&) -> void;
    auto listen() -> std::error_code;

    /** Returns the state of all sources as one JSON object. */
    [[nodiscard]] auto dumpState() const -> nlohmann::json;

private:
    auto handle(const std::shared_ptr<HttpExchange>&) -> void;
    [[nodiscard]] auto isAuthorized(const HttpRequest&) const -> bool;

    const NodeSettings& settings;
    const Metrics& metrics;
    std::vector<const StateSource*> sources;
    HttpServer server;
};

} // namespace Primrosefork
