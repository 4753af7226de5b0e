#include "instanceliststandin.h"

#include <utility>

namespace Primrosefork {

namespace {

using Json = nlohmann::json;

} // namespace

InstanceListStandin::InstanceListStandin(EventLoop& loop, std::chrono::milliseconds lag)
    : loop(loop)
    , server(loop, {}, [this](const std::shared_ptr<HttpExchange>& exchange) { this->handle(exchange); })
    , lag(lag)
{
}

auto InstanceListStandin::listen(const Address& address) -> std::error_code
{
    return this->server.listen(address);
}

auto InstanceListStandin::add(Json entry) -> void
{
    const auto id = entry["id"].get<std::string>();
    this->instances[id] = std::move(entry);
    this->snapshots = { { EventLoop::now(), this->instances } };
}

auto InstanceListStandin::handle(const std::shared_ptr<HttpExchange>& exchange) -> void
{
    const auto& request = exchange->request();
    if (request.path == "/control") {
        const auto body = Json::parse(request.body, nullptr, false);
        if (body.is_object())
            this->control(body);
        return exchange->respond({ HttpStatus::ok, {}, this->instances.dump() });
    }
    if (this->faults.isDown)
        return exchange->respond({ HttpStatus::unavailable, {}, "{}" });
    afterDelay(this->loop, this->faults, [this, exchange] {
        auto list = Json::array();
        for (const auto& entry : this->visibleInstances())
            list.push_back(entry);
        exchange->respond({ HttpStatus::ok, {}, Json { { "instances", std::move(list) } }.dump() });
    });
}

auto InstanceListStandin::control(const Json& body) -> void
{
    this->faults.update(body);
    this->lag = std::chrono::milliseconds(body.value("lag_ms", this->lag.count()));
    for (const auto& id : body.value("remove", Json::array()))
        this->instances.erase(id.get<std::string>());
    for (const auto& entry : body.value("put", Json::array()))
        this->instances[entry.at("id").get<std::string>()].update(entry);
    this->snapshots.push_back({ EventLoop::now() + this->lag, this->instances });
}

auto InstanceListStandin::visibleInstances() -> const Json&
{
    const auto now = EventLoop::now();
    while (this->snapshots.size() > 1 && this->snapshots[1].visibleFrom <= now)
        this->snapshots.pop_front();
    static const auto none = Json::object();
    return this->snapshots.empty() ? none : this->snapshots.front().instances;
}

} // namespace Primrosefork
