#include "streamtest.h"
#include "units.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

using namespace Primrosefork;
using namespace Primrosefork::StreamTest;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;
using Testkit::Cluster;
using Testkit::ClusterOptions;

/**
 * A caller with a small receive buffer that does not read its answer.
 */
class SlowCaller {
public:
    SlowCaller(const Address& node, const std::string& body)
        : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int receiveBytes = 4096;
        setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
        sockaddr_in name {};
        name.sin_family = AF_INET;
        name.sin_port = htons(node.port);
        inet_pton(AF_INET, node.ip.c_str(), &name.sin_addr);
        const auto request = "POST /v1/services/desk/draft HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer " + std::string(Cluster::callerKey)
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        this->isConnected = connect(this->descriptor, reinterpret_cast<const sockaddr*>(&name), sizeof name) == 0
            && send(this->descriptor, request.data(), request.size(), 0) == static_cast<ssize_t>(request.size());
    }

    ~SlowCaller() { close(this->descriptor); }
    SlowCaller(const SlowCaller&) = delete;
    auto operator=(const SlowCaller&) -> SlowCaller& = delete;

    [[nodiscard]] auto hasSentRequest() const -> bool { return this->isConnected; }

private:
    int descriptor;
    bool isConnected = false;
};

TEST_CASE("the stream of a caller that does not read is paused, and cancelled when the caller disconnects")
{
    // Allows for each caller the stream buffer, the text kept to continue on another engine, and the pieces read before the pause; its whole answer has 30 MiB.
    constexpr std::size_t memoryLimit = 4 * mebibyte;
    constexpr std::size_t callerCount = 4;
    ClusterOptions options;
    options.engines = 1;
    options.engine = { { "step_us", 1000 }, { "prefill_tokens_per_second", 100'000 }, { "tokens_per_step", 50 } };
    options.settings = { { "limits", { { "stream_buffer", "64KiB" } } } };
    Cluster cluster(options);
    REQUIRE(cluster.start());
    const auto before = cluster.node(0).residentBytes();
    std::vector<std::unique_ptr<SlowCaller>> callers;
    for (std::size_t index = 0; index < callerCount; ++index) {
        const Json body { { "prompt", "slow " + std::to_string(index) }, { "max_tokens", 1'000'000 }, { "stream", true } };
        callers.push_back(std::make_unique<SlowCaller>(cluster.callersAddress(0), body.dump()));
        REQUIRE(callers.back()->hasSentRequest());
    }

    std::int64_t last = -1;
    auto lastChange = EventLoop::now();
    const auto hasGenerationStopped = [&] {
        const auto generated = cluster.control(cluster.engineAddress(0), Json::object()).value("generated_tokens", std::int64_t { 0 });
        if (std::exchange(last, generated) != generated)
            lastChange = EventLoop::now();
        return last > 0 && EventLoop::now() - lastChange > 2s;
    };
    CHECK(cluster.client().waitUntil(hasGenerationStopped, 60s));
    CHECK(cluster.node(0).residentBytes() < before + memoryLimit);
    MESSAGE("tokens generated: " << last << ", memory grown: " << (cluster.node(0).residentBytes() - before) / 1024 << " KiB");

    callers.clear();
    CHECK(cluster.client().waitUntil([&] { return runningStreams(cluster, 0) == 0; }, 10s));
}

} // namespace
