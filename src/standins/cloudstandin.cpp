#include "cloudstandin.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace Primrosefork {

namespace {

using Json = nlohmann::json;

} // namespace

CloudStandin::CloudStandin(EventLoop& loop)
    : loop(loop)
    , server(loop, {}, [this](const std::shared_ptr<HttpExchange>& exchange) { this->handle(exchange); })
{
}

auto CloudStandin::listen(const Address& address) -> std::error_code
{
    return this->server.listen(address);
}

auto CloudStandin::handle(const std::shared_ptr<HttpExchange>& exchange) -> void
{
    const auto& request = exchange->request();
    if (request.path == "/control") {
        this->control(request.body);
        return exchange->respond({ HttpStatus::ok, {}, "{}" });
    }
    if (this->faults.isDown)
        return exchange->respond({ HttpStatus::unavailable, {}, "{}" });
    afterDelay(this->loop, this->faults, [this, exchange] {
        auto list = Json::array();
        for (const auto& [instance, reclaimTime] : this->notices) {
            const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(reclaimTime - EventLoop::now());
            list.push_back({ { "instance", instance }, { "remaining_ms", remaining.count() } });
        }
        exchange->respond({ HttpStatus::ok, {}, Json { { "notices", std::move(list) } }.dump() });
    });
}

auto CloudStandin::control(const std::string& body) -> void
{
    const auto json = Json::parse(body, nullptr, false);
    if (!json.is_object())
        return;
    this->faults.update(json);
    const auto reclaimTime = EventLoop::now() + std::chrono::milliseconds(json.value("remaining_ms", 0));
    for (const auto& instance : json.value("reclaim", Json::array()))
        this->notices[instance.get<std::string>()] = reclaimTime;
}

} // namespace Primrosefork
