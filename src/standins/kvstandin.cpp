#include "kvstandin.h"

#include "units.h"

#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

using Json = nlohmann::json;

constexpr auto tickPeriod = 20ms;
constexpr std::string_view leasesPath = "/v1/leases";

auto respond(const std::shared_ptr<HttpExchange>& exchange, int status, const Json& body) -> void
{
    exchange->respond({ status, {}, body.dump() });
}

auto toJson(const std::string& key, const std::string& value, StoreRevision revision) -> Json
{
    return { { "key", key }, { "value", value }, { "revision", revision } };
}

auto queryNumber(const HttpRequest& request, const std::string& name) -> std::uint64_t
{
    return std::strtoull(request.queryValue(name).value_or("0").c_str(), nullptr, 10);
}

} // namespace

KvStandin::KvStandin(EventLoop& loop)
    : loop(loop)
    , server(loop, { .bodyBytes = 2 * mebibyte }, [this](const std::shared_ptr<HttpExchange>& exchange) { this->handle(exchange); })
    , timer(loop, [this] { this->tick(); })
{
    this->timer.startRepeating(tickPeriod);
}

auto KvStandin::listen(const Address& address) -> std::error_code
{
    return this->server.listen(address);
}

auto KvStandin::handle(const std::shared_ptr<HttpExchange>& exchange) -> void
{
    if (exchange->request().path == "/control")
        return this->control(exchange);
    if (this->isOnSilencedConnection(exchange))
        return;
    if (this->faults.isSilent)
        return this->watches.push_back({ exchange, "\xff", 0, EventLoop::TimePoint::max() });
    if (this->faults.isDown)
        return respond(exchange, HttpStatus::unavailable, { { "error", "down" } });
    afterDelay(this->loop, this->faults, [this, exchange] { this->serve(exchange); });
}

auto KvStandin::serve(const std::shared_ptr<HttpExchange>& exchange) -> void
{
    const auto& request = exchange->request();
    if (request.path == "/v1/kv")
        return this->get(exchange);
    if (request.path == "/v1/list")
        return this->list(exchange);
    if (request.path == "/v1/swap")
        return this->compareAndSwap(exchange);
    if (request.path == "/v1/watch")
        return this->watch(exchange);
    if (request.path.starts_with(leasesPath))
        return this->changeLease(exchange);
    respond(exchange, HttpStatus::notFound, { { "error", "no such path" } });
}

auto KvStandin::control(const std::shared_ptr<HttpExchange>& exchange) -> void
{
    const auto& request = exchange->request();
    if (request.method == "POST") {
        const auto body = Json::parse(request.body, nullptr, false);
        if (body.is_object())
            this->updateControls(body);
    }
    respond(exchange, HttpStatus::ok,
        { { "reads", this->calls.reads }, { "writes", this->calls.writes }, { "watches", this->calls.watches },
            { "leases", this->calls.leases }, { "waiting_watches", this->watches.size() }, { "revision", this->revision } });
}

auto KvStandin::updateControls(const Json& body) -> void
{
    this->faults.update(body);
    if (body.value("save", false))
        this->saved = { this->values, this->revision };
    if (body.value("restore", false)) {
        this->values = this->saved.values;
        this->revision = this->saved.revision;
    }
    this->isStale = body.value("stale", this->isStale);
    this->isDownAfterWrite = body.value("down_after_write", this->isDownAfterWrite);
    if (body.value("silence_watches", false))
        this->silenceWatches();
}

auto KvStandin::silenceWatches() -> void
{
    for (auto& watch : this->watches)
        this->silencedCalls[watch.exchange->connectionId()].push_back(watch.exchange);
    this->watches.clear();
}

auto KvStandin::isOnSilencedConnection(const std::shared_ptr<HttpExchange>& exchange) -> bool
{
    std::erase_if(this->silencedCalls, [](const auto& connection) { return connection.second.back()->isClosed(); });
    const auto found = this->silencedCalls.find(exchange->connectionId());
    if (found == this->silencedCalls.end())
        return false;
    found->second.push_back(exchange);
    return true;
}

auto KvStandin::get(const std::shared_ptr<HttpExchange>& exchange) -> void
{
    ++this->calls.reads;
    const auto key = exchange->request().queryValue("key").value_or("");
    const auto& visible = this->isStale ? this->saved.values : this->values;
    const auto found = visible.find(key);
    if (found == visible.end())
        return respond(exchange, HttpStatus::notFound, { { "error", "no such key" } });
    respond(exchange, HttpStatus::ok, toJson(key, found->second.text, found->second.revision));
}

auto KvStandin::list(const std::shared_ptr<HttpExchange>& exchange) -> void
{
    ++this->calls.reads;
    respond(exchange, HttpStatus::ok, this->listing(exchange->request().queryValue("prefix").value_or(""), 0));
}

auto KvStandin::compareAndSwap(const std::shared_ptr<HttpExchange>& exchange) -> void
{
    ++this->calls.writes;
    const auto body = Json::parse(exchange->request().body, nullptr, false);
    if (!body.is_object() || !body.contains("key") || !body.contains("value"))
        return respond(exchange, HttpStatus::badRequest, { { "error", "bad body" } });
    const auto result = this->applySwap(body);
    this->answerWrite(exchange, result["swapped"].get<bool>() ? HttpStatus::ok : HttpStatus::conflict, result);
}

auto KvStandin::applySwap(const Json& body) -> Json
{
    const auto key = body["key"].get<std::string>();
    const auto lease = body.value("lease", LeaseId { 0 });
    const auto found = this->values.find(key);
    const auto current = found == this->values.end() ? 0 : found->second.revision;
    const auto isLeaseValid = lease == 0 || this->leases.contains(lease);
    if (current != body.value("expected", StoreRevision { 0 }) || !isLeaseValid)
        return { { "swapped", false }, { "current", this->entry(key) } };
    this->faults.isDown = this->faults.isDown || this->isDownAfterWrite;
    this->values[key] = { body["value"].get<std::string>(), ++this->revision, lease };
    this->answerDueWatches();
    return { { "swapped", true }, { "current", this->entry(key) } };
}

auto KvStandin::answerWrite(const std::shared_ptr<HttpExchange>& exchange, int status, const Json& body) -> void
{
    if (this->faults.lostReplies > 0) {
        --this->faults.lostReplies;
        return exchange->abort();
    }
    afterDelay(this->loop, this->faults.replyDelay, [exchange, status, body] { respond(exchange, status, body); });
}

auto KvStandin::watch(const std::shared_ptr<HttpExchange>& exchange) -> void
{
    ++this->calls.watches;
    const auto& request = exchange->request();
    const auto wait = std::chrono::milliseconds(queryNumber(request, "wait_ms"));
    this->watches.push_back({ exchange, request.queryValue("prefix").value_or(""), queryNumber(request, "after"), EventLoop::now() + wait });
    this->answerDueWatches();
}

auto KvStandin::changeLease(const std::shared_ptr<HttpExchange>& exchange) -> void
{
    ++this->calls.leases;
    const auto& request = exchange->request();
    if (request.method == "POST") {
        const auto body = Json::parse(request.body, nullptr, false);
        const std::chrono::milliseconds duration(body.is_object() ? body.value("duration_ms", std::int64_t { 0 }) : 0);
        this->leases[this->nextLease] = { duration, EventLoop::now() + duration };
        return this->answerWrite(exchange, HttpStatus::ok, { { "lease", this->nextLease++ } });
    }
    const auto lease = std::strtoull(request.path.substr(leasesPath.size() + 1).c_str(), nullptr, 10);
    const auto found = this->leases.find(lease);
    if (found == this->leases.end())
        return respond(exchange, HttpStatus::notFound, { { "error", "no such lease" } });
    if (request.method == "DELETE")
        this->endLease(lease);
    else
        found->second.end = EventLoop::now() + found->second.duration;
    this->answerWrite(exchange, HttpStatus::ok, { { "lease", lease } });
}

auto KvStandin::answerDueWatches() -> void
{
    for (auto watch = this->watches.begin(); watch != this->watches.end();) {
        const auto changed = this->listing(watch->prefix, watch->after);
        const auto isDue = !changed["entries"].empty() || watch->end <= EventLoop::now();
        if (isDue && !watch->exchange->isClosed())
            respond(watch->exchange, HttpStatus::ok, changed);
        watch = isDue || watch->exchange->isClosed() ? this->watches.erase(watch) : std::next(watch);
    }
}

auto KvStandin::endLease(LeaseId lease) -> void
{
    this->leases.erase(lease);
    std::erase_if(this->values, [lease](const auto& entry) { return entry.second.lease == lease; });
}

auto KvStandin::tick() -> void
{
    std::vector<LeaseId> expired;
    for (const auto& [id, lease] : this->leases) {
        if (lease.end <= EventLoop::now())
            expired.push_back(id);
    }
    for (const auto id : expired)
        this->endLease(id);

    for (auto watch = this->watches.begin(); watch != this->watches.end();) {
        const auto isOver = watch->end <= EventLoop::now() || watch->exchange->isClosed();
        if (isOver && !watch->exchange->isClosed())
            respond(watch->exchange, HttpStatus::ok, { { "entries", Json::array() }, { "revision", this->isStale ? this->saved.revision : this->revision } });
        watch = isOver ? this->watches.erase(watch) : std::next(watch);
    }
}

auto KvStandin::listing(const std::string& prefix, StoreRevision after) const -> Json
{
    const auto& visible = this->isStale ? this->saved.values : this->values;
    auto entries = Json::array();
    for (auto value = visible.lower_bound(prefix); value != visible.end() && value->first.starts_with(prefix); ++value) {
        if (value->second.revision > after)
            entries.push_back(toJson(value->first, value->second.text, value->second.revision));
    }
    return { { "entries", std::move(entries) }, { "revision", this->isStale ? this->saved.revision : this->revision } };
}

auto KvStandin::entry(const std::string& key) const -> Json
{
    const auto found = this->values.find(key);
    if (found == this->values.end())
        return toJson(key, "", 0);
    return toJson(key, found->second.text, found->second.revision);
}

} // namespace Primrosefork
