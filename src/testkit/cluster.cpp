#include "cluster.h"

#include "hash.h"
#include "scratch.h"

#include <algorithm>
#include <filesystem>

using namespace std::chrono_literals;

namespace Primrosefork::Testkit {

namespace {

using Json = nlohmann::json;

constexpr std::uint16_t callersPort = 8080;
constexpr std::uint16_t operatorsPort = 8081;
constexpr std::uint16_t peersPort = 8082;
constexpr std::uint16_t platformPort = 9000;
constexpr std::uint16_t firstEnginePort = 10'000;
constexpr std::uint16_t firstPlainPort = 9'100;
constexpr auto readyLimit = 20s;

} // namespace

Cluster::Cluster(const ClusterOptions& options)
    : options(options)
    , folder(makeTemporaryFolder())
    , network(uniqueNetwork())
    , nodes(options.nodes)
{
    this->writeWorld();
    for (std::size_t index = 0; index < options.nodes; ++index)
        this->writeSettings(index);
}

Cluster::~Cluster()
{
    this->nodes.clear();
    this->engineProcesses.clear();
    this->standinProcess.reset();
    std::filesystem::remove_all(this->folder);
}

auto Cluster::start() -> bool
{
    if (!this->startStandins() || !this->putConfiguration())
        return false;
    for (std::size_t index = 0; index < this->options.nodes; ++index)
        this->startNode(index);
    for (std::size_t index = 0; index < this->options.nodes; ++index) {
        if (!this->waitUntilReady(index, readyLimit))
            return false;
    }
    return true;
}

auto Cluster::startStandins() -> bool
{
    this->standinProcess = std::make_unique<Process>(STANDINS_PROGRAM, std::vector<std::string> { "--world", this->path("world.json") }, this->path("standins.log"));
    const auto isListening = this->blockingClient.waitUntil(
        [this] { return !this->blockingClient.get(this->keyValueService(), "/control").error; }, readyLimit);
    return isListening && (!this->options.hasProcessPerZone || this->startEngines());
}

auto Cluster::startEngines() -> bool
{
    auto entries = Json::array();
    for (std::size_t zone = 0; zone < this->options.zones; ++zone) {
        auto engines = Json::array();
        for (auto index = zone; index < this->options.engines; index += this->options.zones)
            engines.push_back(this->describeEngine(index));
        for (auto entry : engines) {
            entry["kind"] = "engine";
            entries.push_back(std::move(entry));
        }
        const auto name = "engines-" + this->zone(zone);
        writeJson(this->path(name + ".json"), { { "engines", std::move(engines) } });
        this->engineProcesses.push_back(std::make_unique<Process>(
            STANDINS_PROGRAM, std::vector<std::string> { "--world", this->path(name + ".json") }, this->path(name + ".log")));
    }
    this->control(this->instanceList(), { { "put", std::move(entries) } });
    return this->blockingClient.waitUntil(
        [this] {
            for (std::size_t index = 0; index < this->options.engines; ++index) {
                if (this->blockingClient.get(this->engineAddress(index), "/control").error)
                    return false;
            }
            return true;
        },
        readyLimit);
}

auto Cluster::startNode(std::size_t index) -> void
{
    const auto settings = this->path(nodeId(index) + ".json");
    this->nodes[index] = std::make_unique<Process>(NODE_PROGRAM, std::vector<std::string> { "--settings", settings }, this->path(nodeId(index) + ".log"));
}

auto Cluster::waitUntilReady(std::size_t index, std::chrono::milliseconds limit) -> bool
{
    const auto isServing = [this, index] {
        const auto result = this->blockingClient.get(this->operatorsAddress(index), "/admin/v1/state", { { "Authorization", std::string("Bearer ") + operatorKey } });
        const auto state = Json::parse(result.response.body, nullptr, false);
        if (result.error || !state.is_object())
            return false;
        return state["lifecycle"]["phase"] == "serving" && state["backend_servers"].size() == this->options.engines + this->options.plainServices
            && state["configuration"]["revisions"].contains("config/services/jadeleaf/desk");
    };
    return this->blockingClient.waitUntil(isServing, limit);
}

auto Cluster::callersAddress(std::size_t index) const -> Address
{
    return { this->network + std::to_string(index + 1), callersPort };
}

auto Cluster::operatorsAddress(std::size_t index) const -> Address
{
    return { this->network + std::to_string(index + 1), operatorsPort };
}

auto Cluster::peersAddress(std::size_t index) const -> Address
{
    return { this->network + std::to_string(index + 1), peersPort };
}

auto Cluster::keyValueService() const -> Address
{
    return { this->network + "253", platformPort };
}

auto Cluster::instanceList() const -> Address
{
    return { this->network + "253", platformPort + 1 };
}

auto Cluster::cloudApi() const -> Address
{
    return { this->network + "253", platformPort + 2 };
}

auto Cluster::engineAddress(std::size_t index) const -> Address
{
    return { this->network + "254", static_cast<std::uint16_t>(firstEnginePort + index) };
}

auto Cluster::plainServiceAddress(std::size_t index) const -> Address
{
    return { this->network + "254", static_cast<std::uint16_t>(firstPlainPort + index) };
}

auto Cluster::nodeId(std::size_t index) -> std::string
{
    return "node-" + std::to_string(index);
}

auto Cluster::engineId(std::size_t index) -> std::string
{
    return "engine-" + std::to_string(index);
}

auto Cluster::plainServiceId(std::size_t index) -> std::string
{
    return "plain-" + std::to_string(index);
}

auto Cluster::cliProgram() -> std::string
{
    return CLI_PROGRAM;
}

auto Cluster::control(const Address& address, const Json& body) -> Json
{
    return Json::parse(this->blockingClient.post(address, "/control", body.dump()).response.body, nullptr, false);
}

auto Cluster::putRecord(const std::string& key, const Json& record) -> bool
{
    const Json swap { { "key", key }, { "expected", 0 }, { "value", record.dump() } };
    const auto result = this->blockingClient.post(this->keyValueService(), "/v1/swap", swap.dump());
    return !result.error && result.response.status == HttpStatus::ok;
}

auto Cluster::writeWorld() -> void
{
    Json world { { "key_value_service", this->keyValueService().toString() }, { "instance_list", this->instanceList().toString() },
        { "cloud_api", this->cloudApi().toString() }, { "engines", Json::array() }, { "plain_services", Json::array() } };
    for (std::size_t index = 0; index < this->options.engines && !this->options.hasProcessPerZone; ++index)
        world["engines"].push_back(this->describeEngine(index));
    for (std::size_t index = 0; index < this->options.plainServices; ++index) {
        Json plain { { "id", plainServiceId(index) }, { "address", this->plainServiceAddress(index).toString() }, { "zone", this->zone(index) },
            { "region", "west" }, { "pool", "booking" } };
        plain.update(this->options.plainService);
        world["plain_services"].push_back(std::move(plain));
    }
    world.update(this->options.world);
    writeJson(this->path("world.json"), world);
}

auto Cluster::describeEngine(std::size_t index) const -> Json
{
    Json engine { { "id", engineId(index) }, { "address", this->engineAddress(index).toString() }, { "zone", this->zone(index) },
        { "region", "west" }, { "pool", "assistant" }, { "model", "m1" }, { "version", "1" } };
    engine.update(this->options.engine);
    return engine;
}

auto Cluster::writeSettings(std::size_t index) -> void
{
    Json settings {
        { "node", { { "id", nodeId(index) }, { "zone", this->zone(index) }, { "region", "west" } } },
        { "listen", { { "callers", this->callersAddress(index).toString() }, { "operators", this->operatorsAddress(index).toString() } } },
        { "platform", { { "key_value_service", this->keyValueService().toString() }, { "instance_list", this->instanceList().toString() }, { "cloud_api", this->cloudApi().toString() } } },
        { "operators", Json::array({ { { "name", "ana" }, { "key_sha256", sha256Hex(operatorKey) } } }) },
    };
    if (this->options.hasPeers) {
        settings["listen"]["peers"] = this->peersAddress(index).toString();
        settings["peers"] = this->peerSettings();
    }
    settings.merge_patch(this->options.settings);
    writeJson(this->path(nodeId(index) + ".json"), settings);
}

auto Cluster::peerSettings() const -> Json
{
    constexpr std::size_t seedCount = 3;
    constexpr std::size_t secretDigits = 64;
    auto seeds = Json::array();
    for (std::size_t index = 0; index < std::min(seedCount, this->options.nodes); ++index)
        seeds.push_back(this->peersAddress(index).toString());
    return { { "seeds", std::move(seeds) }, { "keys", Json::array({ { { "id", 1 }, { "secret", std::string(secretDigits, '7') } } }) } };
}

auto Cluster::putConfiguration() -> bool
{
    const auto routes = Json::array({
        { { "path", "chat" }, { "kind", "model" }, { "idempotent", true } },
        { { "path", "draft" }, { "kind", "model" }, { "idempotent", true }, { "work", "long" }, { "expected_tokens", 2000 }, { "deadline", "10m" } },
        { { "path", "bookings/confirm" }, { "kind", "plain" }, { "idempotent", false } },
        { { "path", "bookings/read" }, { "kind", "plain" }, { "idempotent", true } },
    });
    const auto models = Json::array({ { { "model", "m1" }, { "version", "1" } } });
    return this->putRecord("config/workspaces/jadeleaf", { { "revision", 1 }, { "content", { { "key_sha256", sha256Hex(callerKey) } } } })
        && this->putRecord("config/templates/assistant", { { "revision", 1 }, { "content", { { "routes", routes } } } })
        && this->putRecord("config/services/jadeleaf/desk",
            { { "revision", 1 }, { "template", "assistant" }, { "content", { { "models", models }, { "backend_pools", { "assistant", "booking" } } } } });
}

auto Cluster::zone(std::size_t index) const -> std::string
{
    return { static_cast<char>('a' + index % this->options.zones) };
}

auto Cluster::path(const std::string& name) const -> std::string
{
    return this->folder + "/" + name;
}

} // namespace Primrosefork::Testkit
