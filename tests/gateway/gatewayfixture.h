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

    /** Starts the node and waits until it serves; returns whether it does. */
    auto start() -> bool;

    /** Runs the loop until \a done returns true, but not longer than \a limit; returns the last result of \a done. */
    auto runUntil(const std::function<bool()>& done, std::chrono::milliseconds limit = std::chrono::seconds(10)) -> bool;

    /** Runs the loop for \a time. */
    auto runFor(std::chrono::milliseconds time) -> void;

    /** Sends \a request on a new connection and returns what was received until the answer was complete, the connection closed or \a limit passed. */
    auto sendRequest(const std::string& request, std::chrono::milliseconds limit = std::chrono::seconds(5)) -> std::string;

    /** Returns a request to the route at \a prefix with the attempt id \a id and the header lines \a more. */
    [[nodiscard]] static auto makeRequest(const std::string& prefix, const std::string& id, const std::string& more = "") -> std::string;

    /** Writes the operator's configuration with \a version and the credentials in \a keys, a JSON list. */
    auto configure(int version, const std::string& keys = R"(["k1"])") -> void;

    /** Registers the server \a id of \a service at \a port in \a state, with the further JSON members \a more. */
    auto registerServer(const std::string& id, const std::string& service, int port, const std::string& state = "ready", const std::string& more = "") -> void;

    /** Returns a complete answer to \a request with \a status, \a body and the header lines \a more. */
    [[nodiscard]] static auto answerTo(const std::string& request, int status, const std::string& body, const std::string& more = "") -> std::string;

    EventLoop loop;
    HttpClient client { loop };
    StoreStandIn platform;
    GatewaySettings settings;
    std::unique_ptr<GatewayNode> node;
};

} // namespace Primrosefork::Testkit
