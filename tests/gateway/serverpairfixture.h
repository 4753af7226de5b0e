#pragma once

#include "gatewayfixture.h"

#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

namespace Primrosefork::Testkit {

/** A node with two servers of one service; the first request gets the answer of \a first, all others that of \a later. */
struct ServerPairFixture : GatewayFixture {
    ServerPairFixture(const std::string& service, const ScriptedServer::Script& first, const ScriptedServer::Script& later)
    {
        constexpr int firstPort = 18321;
        constexpr int secondPort = 18322;
        const ScriptedServer::Script script = [this, first, later](const std::string& request) { return this->requestCount++ == 0 ? first(request) : later(request); };
        this->configure(1);
        for (const auto port : { firstPort, secondPort }) {
            this->servers.push_back(std::make_unique<ScriptedServer>(this->loop, Address { "127.0.0.1", static_cast<std::uint16_t>(port) }, script));
            this->registerServer("i-" + std::to_string(port), service, port);
        }
        REQUIRE(this->start());
    }

    /** Returns the number of connections that the node closed. */
    [[nodiscard]] auto closedCount() const -> int
    {
        int sum = 0;
        for (const auto& server : this->servers)
            sum += server->closedByPeer;
        return sum;
    }

    int requestCount = 0;
    std::vector<std::unique_ptr<ScriptedServer>> servers;
};

} // namespace Primrosefork::Testkit
