#include "plainstandin.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace Primrosefork {

namespace {

using Json = nlohmann::json;

} // namespace

PlainStandin::PlainStandin(EventLoop& loop, std::string id, std::chrono::milliseconds workingTime)
    : loop(loop)
    , server(loop, {}, [this](const std::shared_ptr<HttpExchange>& exchange) { this->handle(exchange); })
    , id(std::move(id))
{
    this->faults.delay = workingTime;
}

auto PlainStandin::listen(const Address& address) -> std::error_code
{
    return this->server.listen(address);
}

auto PlainStandin::handle(const std::shared_ptr<HttpExchange>& exchange) -> void
{
    if (exchange->request().path == "/control")
        return this->control(exchange);
    if (this->faults.isSilent)
        return this->unanswered.push_back(exchange);
    if (this->faults.isDown)
        return exchange->respond({ HttpStatus::unavailable, {}, R"({"error":"down"})" });
    this->run(exchange);
}

auto PlainStandin::control(const std::shared_ptr<HttpExchange>& exchange) -> void
{
    const auto body = Json::parse(exchange->request().body, nullptr, false);
    if (body.is_object()) {
        this->faults.update(body);
        this->dropsAnswers = body.value("swallow_answers", this->dropsAnswers);
    }
    exchange->respond({ HttpStatus::ok, {}, Json { { "id", this->id }, { "runs", this->runs }, { "silent", this->unanswered.size() } }.dump() });
}

auto PlainStandin::run(const std::shared_ptr<HttpExchange>& exchange) -> void
{
    const auto key = exchange->request().headers.get("Request-Key").value_or("");
    const auto count = ++this->runs[key];
    if (this->faults.lostReplies > 0) {
        --this->faults.lostReplies;
        return exchange->abort();
    }
    if (this->dropsAnswers)
        return this->unanswered.push_back(exchange);
    afterDelay(this->loop, this->faults, [exchange, key, count] {
        exchange->respond({ HttpStatus::ok, {}, Json { { "key", key }, { "run", count }, { "echo", exchange->request().body } }.dump() });
    });
}

} // namespace Primrosefork
