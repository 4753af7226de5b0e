#include "world.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace Primrosefork {

namespace {

using Json = nlohmann::json;

} // namespace

World::World(EventLoop& loop, const Json& description)
    : loop(loop)
    , keyValueService(loop)
    , instanceList(loop, std::chrono::milliseconds(description.value("instance_list_lag_ms", 500)))
    , cloud(loop)
{
    this->addListener(description, "key_value_service", [this](const Address& address) { return this->keyValueService.listen(address); });
    this->addListener(description, "instance_list", [this](const Address& address) { return this->instanceList.listen(address); });
    this->addListener(description, "cloud_api", [this](const Address& address) { return this->cloud.listen(address); });
    for (const auto& engine : description.value("engines", Json::array()))
        this->addEngine(engine);
    for (const auto& plain : description.value("plain_services", Json::array()))
        this->addPlain(plain);
}

auto World::listen() -> std::error_code
{
    for (const auto& listener : this->listeners) {
        if (const auto error = listener.listen(listener.address))
            return error;
    }
    return {};
}

auto World::addEngine(const Json& json) -> void
{
    EngineOptions options;
    options.id = json.at("id").get<std::string>();
    options.slots = json.value("slots", options.slots);
    options.prefillTokensPerSecond = json.value("prefill_tokens_per_second", options.prefillTokensPerSecond);
    options.step = std::chrono::microseconds(json.value("step_us", options.step.count()));
    options.tokensPerStep = json.value("tokens_per_step", options.tokensPerStep);
    options.cacheBlocks = json.value("cache_blocks", options.cacheBlocks);
    options.loadLag = std::chrono::milliseconds(json.value("load_lag_ms", options.loadLag.count()));
    options.exportTokensPerSecond = json.value("export_tokens_per_second", options.exportTokensPerSecond);
    this->engines.push_back(std::make_unique<EngineStandin>(this->loop, options));
    auto* engine = this->engines.back().get();
    this->addListener(json, "address", [engine](const Address& address) { return engine->listen(address); });
    auto entry = json;
    entry["kind"] = "engine";
    this->instanceList.add(std::move(entry));
}

auto World::addPlain(const Json& json) -> void
{
    const std::chrono::milliseconds workingTime(json.value("working_ms", 5));
    this->plainServices.push_back(std::make_unique<PlainStandin>(this->loop, json.at("id").get<std::string>(), workingTime));
    auto* plain = this->plainServices.back().get();
    this->addListener(json, "address", [plain](const Address& address) { return plain->listen(address); });
    auto entry = json;
    entry["kind"] = "plain";
    this->instanceList.add(std::move(entry));
}

auto World::addListener(const Json& description, const std::string& key, std::function<std::error_code(const Address&)> listen) -> void
{
    const auto address = parseAddress(description.value(key, ""));
    if (address)
        this->listeners.push_back({ *address, std::move(listen) });
}

} // namespace Primrosefork
