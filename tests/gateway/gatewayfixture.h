#pragma once

#include "adapter.h"
#include "httpclient.h"
#include "rawcaller.h"
#include "scriptedserver.h"
#include "storestandin.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace Primrosefork::Testkit {

/**
 * One gateway node between callers and scripted servers, on one loop.
 */
class GatewayFixture {
public:
    GatewayFixture();

    /** Starts the node and waits until it serves. */
    auto start() -> bool;

    /** Runs the loop until \a done, or for \a limit; returns what \a done says then. */
    auto runUntil(const std::function<bool()>& done, std::chrono::milliseconds limit = std::chrono::seconds(10)) -> bool;

    /** Runs the loop for \a time. */
    auto runFor(std::chrono::milliseconds time) -> void;

    /** Sends \a request on a connection of its own and returns all that came back until its answer was whole or the connection closed. */
    auto sendRequest(const std::string& request, std::chrono::milliseconds limit = std::chrono::seconds(5)) -> std::string;

    /** Returns a request of the route below \a prefix with \a id. */
    [[nodiscard]] static auto makeRequest(const std::string& prefix, const std::string& id, const std::string& more = "") -> std::string;

    /** Writes the operator's configuration with \a version and the credentials in \a keys, a JSON list. */
    auto configure(int version, const std::string& keys = R"(["k1"])") -> void;

    /** Registers the server \a id at \a port. */
    auto registerServer(const std::string& id, const std::string& service, int port, const std::string& state = "ready") -> void;

    /** Returns a whole answer to \a request with \a status and \a body. */
    [[nodiscard]] static auto answerTo(const std::string& request, int status, const std::string& body, const std::string& more = "") -> std::string;

    EventLoop loop;
    HttpClient client { loop };
    StoreStandIn platform;
    GatewaySettings settings;
    std::unique_ptr<GatewayNode> node;
};

} // namespace Primrosefork::Testkit
