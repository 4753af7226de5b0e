#pragma once

#include "eventloop.h"
#include "httpserver.h"

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <vector>

namespace Primrosefork {

class AdministrationApi;
class Metrics;
class StateSource;
struct NodeSettings;
struct OperatorCredential;

/**
 * The server on the operators' port: serves metrics, the state dump and the
 * administration API to requests with an operator's credential.
 * docs/OPERATORS.md describes the calls.
 */
class OperatorServer {
public:
    OperatorServer(EventLoop&, const NodeSettings&, const Metrics&, AdministrationApi&);

    /** Adds a source to the state dump; it must outlive this server. */
    auto addSource(const StateSource&) -> void;
    auto listen() -> std::error_code;

    /** Returns the state of all sources as one JSON object. */
    [[nodiscard]] auto dumpState() const -> nlohmann::json;

private:
    auto handle(const std::shared_ptr<HttpExchange>&) -> void;
    [[nodiscard]] auto findOperator(const HttpRequest&) const -> const OperatorCredential*;

    const NodeSettings& settings;
    const Metrics& metrics;
    AdministrationApi& administration;
    std::vector<const StateSource*> sources;
    HttpServer server;
};

} // namespace Primrosefork
