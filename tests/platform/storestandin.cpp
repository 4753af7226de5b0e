#include "storestandin.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <sodium.h>
#include <utility>

namespace Primrosefork::Testkit {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds watchCheckPeriod { 50 };
constexpr std::string_view keepPath = "/kv-keep/";
constexpr std::chrono::milliseconds leaseTime { 3'000 };

auto encode(const std::string& value) -> std::string
{
    std::string text(sodium_base64_encoded_len(value.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(value.data()), value.size(), sodium_base64_VARIANT_ORIGINAL);
    text.pop_back();
    return text;
}

auto decode(const std::string& text) -> std::string
{
    std::string value(text.size(), '\0');
    std::size_t size = 0;
    sodium_base642bin(reinterpret_cast<unsigned char*>(value.data()), value.size(), text.data(), text.size(), nullptr, &size, nullptr, sodium_base64_VARIANT_ORIGINAL);
    value.resize(size);
    return value;
}

auto answer(HttpExchange& exchange, int status, const Json& body) -> void
{
    exchange.respond({ status, { { "Content-Type", "application/json" } }, body.dump() });
}

} // namespace

StoreStandIn::StoreStandIn(EventLoop& loop, const Address& storeAddress, const Address& fleetAddress)
    : loop(loop)
    , store(loop, {}, [this](const std::shared_ptr<HttpExchange>& exchange) { this->handle(exchange); })
    , fleet(loop, {}, [this](const std::shared_ptr<HttpExchange>& exchange) {
        const auto& request = exchange->request();
        this->fleetCalls.push_back({ request.path, request.headers.get("X-Duty-Holder").value_or(""), request.headers.get("X-Fence-Token").value_or(""), request.body });
        answer(*exchange, HttpStatus::ok, Json::object());
    })
    , watchTimer(loop, [this] { this->tick(); })
{
    this->watchTimer.startRepeating(watchCheckPeriod);
    static_cast<void>(this->store.listen(storeAddress));
    static_cast<void>(this->fleet.listen(fleetAddress));
}

auto StoreStandIn::put(const std::string& key, const std::string& value) -> void
{
    this->write(key, encode(value), 0, false);
    this->answerWatches();
}

auto StoreStandIn::remove(const std::string& key) -> void
{
    this->write(key, "", 0, true);
    this->answerWatches();
}

auto StoreStandIn::valueOf(const std::string& key) const -> std::string
{
    const auto found = this->items.find(key);
    return found == this->items.end() || found->second.isDeleted ? "" : decode(found->second.value);
}

auto StoreStandIn::expireLeases() -> void
{
    for (const auto& [key, item] : std::map(this->items)) {
        if (item.lease != 0 && !item.isDeleted)
            this->write(key, "", 0, true);
    }
    this->answerWatches();
}

auto StoreStandIn::write(const std::string& key, const std::string& encoded, std::uint64_t lease, bool isDeleted) -> void
{
    this->items[key] = { encoded, ++this->revision, lease, isDeleted };
}

auto StoreStandIn::addEntrance(const Address& address) -> void
{
    auto& entrance = this->entrances[address];
    entrance.server = std::make_unique<HttpServer>(this->loop, HttpServerOptions {}, [this, address](const std::shared_ptr<HttpExchange>& exchange) { this->handleAt(address, exchange); });
    static_cast<void>(entrance.server->listen(address));
}

auto StoreStandIn::treat(const Address& address, Treatment treatment) -> void
{
    this->entrances.at(address).treatment = treatment;
    if (treatment == Treatment::Served)
        return;
    for (auto watch = this->watches.begin(); watch != this->watches.end();) {
        const auto place = watch++;
        if (place->entrance != address)
            continue;
        if (treatment == Treatment::Refused)
            this->reply(*place->exchange, HttpStatus::unavailable, Json::object());
        else
            this->ignoredCalls.push_back(place->exchange);
        this->watches.erase(place);
    }
}

auto StoreStandIn::handleAt(const Address& address, const std::shared_ptr<HttpExchange>& exchange) -> void
{
    auto& entrance = this->entrances.at(address);
    ++entrance.calls;
    if (entrance.treatment == Treatment::Served)
        return this->handle(exchange, address);
    if (entrance.treatment == Treatment::Ignored)
        return this->ignoredCalls.push_back(exchange);
    this->reply(*exchange, HttpStatus::unavailable, Json::object());
}

auto StoreStandIn::handle(const std::shared_ptr<HttpExchange>& exchange, const Address& entrance) -> void
{
    if (this->answerDelay.count() > 0)
        return this->delayedCalls.push_back({ EventLoop::now() + this->answerDelay, exchange, entrance });
    this->handleNow(exchange, entrance);
}

auto StoreStandIn::tick() -> void
{
    const auto now = EventLoop::now();
    while (!this->delayedCalls.empty() && this->delayedCalls.front().due <= now) {
        const auto call = this->delayedCalls.front();
        this->delayedCalls.pop_front();
        this->handleNow(call.exchange, call.entrance);
    }
    for (auto lease = this->leaseEnds.begin(); this->leasesExpire && lease != this->leaseEnds.end();) {
        if (lease->second > now) {
            ++lease;
            continue;
        }
        for (const auto& [key, item] : std::map(this->items)) {
            if (item.lease == lease->first && !item.isDeleted)
                this->write(key, "", 0, true);
        }
        lease = this->leaseEnds.erase(lease);
    }
    this->answerWatches();
}

auto StoreStandIn::abortWatches() -> void
{
    for (const auto& watch : std::exchange(this->watches, {}))
        watch.exchange->abort();
}

auto StoreStandIn::backup() const -> Backup
{
    return { this->items, this->revision };
}

auto StoreStandIn::restore(const Backup& backup) -> void
{
    this->items = backup.items;
    this->revision = backup.revision;
    ++this->restorations;
    this->leaseEnds.clear();
    this->nextLease = 1;
    this->leasesExpire = true;
    this->abortWatches();
}

auto StoreStandIn::reply(HttpExchange& exchange, int status, const Json& body) const -> void
{
    exchange.respond({ status, { { "Content-Type", "application/json" }, { "Store-Era", std::to_string(this->restorations) } }, body.dump() });
}

auto StoreStandIn::grantLease(HttpExchange& exchange) -> void
{
    const auto lease = this->nextLease++;
    this->leaseEnds[lease] = EventLoop::now() + leaseTime;
    this->reply(exchange, HttpStatus::ok, { { "lease", lease }, { "ttl-ms", leaseTime.count() } });
}

auto StoreStandIn::keepLease(HttpExchange& exchange, std::uint64_t lease) -> void
{
    const auto found = this->leaseEnds.find(lease);
    if (this->leasesExpire && found == this->leaseEnds.end())
        return this->reply(exchange, HttpStatus::notFound, Json::object());
    this->leaseEnds[lease] = EventLoop::now() + leaseTime;
    this->reply(exchange, HttpStatus::ok, { { "ttl-ms", leaseTime.count() } });
}

auto StoreStandIn::handleNow(const std::shared_ptr<HttpExchange>& exchange, const Address& entrance) -> void
{
    const auto& request = exchange->request();
    ++this->calls;
    if (this->failureStatus != 0)
        return this->reply(*exchange, this->failureStatus, Json::object());
    if (request.path == "/kv-range")
        return this->range(*exchange);
    if (request.path == "/kv-txn")
        return this->transact(exchange);
    if (request.path == "/kv-lease")
        return this->grantLease(*exchange);
    if (request.path.starts_with(keepPath))
        return this->keepLease(*exchange, std::strtoull(request.path.c_str() + keepPath.size(), nullptr, 10));
    if (request.path == "/kv-key") {
        ++this->keyReads;
        const auto found = this->items.find(request.queryValue("key").value_or(""));
        if (found == this->items.end() || found->second.isDeleted)
            return this->reply(*exchange, HttpStatus::notFound, Json::object());
        return this->reply(*exchange, HttpStatus::ok,
            { { "key", found->first }, { "value", found->second.value }, { "revision", found->second.revision }, { "current-rev", this->revision } });
    }
    if (request.path == "/kv-watch") {
        const auto after = std::strtoull(request.queryValue("after").value_or("0").c_str(), nullptr, 10);
        if (after < this->oldestRevision || after > this->revision)
            return this->reply(*exchange, 410, Json::object());
        const std::chrono::milliseconds wait(std::strtoll(request.queryValue("wait-ms").value_or("0").c_str(), nullptr, 10));
        this->watches.push_back({ request.queryValue("prefix").value_or(""), after, EventLoop::now() + wait, exchange, entrance });
        return this->answerWatches();
    }
    this->reply(*exchange, HttpStatus::notFound, Json::object());
}

auto StoreStandIn::range(HttpExchange& exchange) -> void
{
    const auto prefix = exchange.request().queryValue("prefix").value_or("");
    const auto after = exchange.request().queryValue("after").value_or("");
    auto list = Json::array();
    bool hasMore = false;
    for (const auto& [key, item] : this->items) {
        if (!key.starts_with(prefix) || key <= after || item.isDeleted)
            continue;
        hasMore = list.size() >= this->pageSize;
        if (hasMore)
            break;
        list.push_back({ { "key", key }, { "value", item.value }, { "revision", item.revision }, { "created-rev", item.revision }, { "lease", item.lease } });
    }
    this->reply(exchange, HttpStatus::ok, { { "items", list }, { "more-pages", hasMore }, { "current-rev", this->revision } });
}

auto StoreStandIn::failedCondition(const Json& transaction) const -> std::optional<std::string>
{
    for (const auto& expected : transaction["expect-rev"]) {
        const auto key = expected["key"].get<std::string>();
        const auto found = this->items.find(key);
        const auto exists = found != this->items.end() && !found->second.isDeleted;
        if ((exists ? found->second.revision : 0) != expected["revision"].get<std::uint64_t>())
            return key;
    }
    return std::nullopt;
}

auto StoreStandIn::transact(const std::shared_ptr<HttpExchange>& exchange) -> void
{
    const auto body = Json::parse(exchange->request().body);
    auto outcome = this->dropsWriteAnswers ? WriteOutcome::AnswerLost : WriteOutcome::Answered;
    for (const auto& put : body["puts"]) {
        if (const auto found = this->writeOutcomes.find(put["key"].get<std::string>()); found != this->writeOutcomes.end())
            outcome = found->second;
    }
    if (outcome == WriteOutcome::Late)
        this->lateWrites.push_back(exchange->request().body);
    if (outcome == WriteOutcome::Late || outcome == WriteOutcome::Lost)
        return exchange->abort();
    if (const auto key = this->failedCondition(body)) {
        auto list = Json::array();
        const auto found = this->items.find(*key);
        if (found != this->items.end() && !found->second.isDeleted)
            list.push_back({ { "key", *key }, { "value", found->second.value }, { "revision", found->second.revision } });
        return this->reply(*exchange, 412, { { "items", list }, { "current-rev", this->revision } });
    }
    for (const auto& put : body["puts"]) {
        const auto lease = put.value("lease", std::uint64_t { 0 });
        if (this->leasesExpire && lease != 0 && !this->leaseEnds.contains(lease))
            return this->reply(*exchange, HttpStatus::notFound, Json::object());
    }
    this->carryOut(body);
    if (outcome == WriteOutcome::AnswerLost)
        exchange->abort();
    else
        this->reply(*exchange, HttpStatus::ok, { { "revision", this->revision } });
    this->answerWatches();
}

auto StoreStandIn::carryOut(const Json& transaction) -> void
{
    for (const auto& put : transaction["puts"])
        this->write(put["key"].get<std::string>(), put["value"].get<std::string>(), put.value("lease", std::uint64_t { 0 }), false);
}

auto StoreStandIn::carryOutLateWrites() -> void
{
    for (const auto& text : std::exchange(this->lateWrites, {})) {
        const auto transaction = Json::parse(text);
        if (!this->failedCondition(transaction))
            this->carryOut(transaction);
    }
    this->answerWatches();
}

auto StoreStandIn::answerWatches() -> void
{
    if (this->dropsWatches)
        this->unansweredWatches.splice(this->unansweredWatches.end(), this->watches);
    if (this->holdsWatches)
        return;
    for (auto watch = this->watches.begin(); watch != this->watches.end();) {
        auto events = Json::array();
        for (const auto& [key, item] : this->items) {
            if (!key.starts_with(watch->prefix) || item.revision <= watch->after)
                continue;
            if (item.isDeleted)
                events.push_back({ { "key", key }, { "revision", item.revision }, { "tombstone", true } });
            else
                events.push_back({ { "key", key }, { "value", item.value }, { "revision", item.revision } });
        }
        if (events.empty() && EventLoop::now() < watch->waitsUntil) {
            ++watch;
            continue;
        }
        this->reply(*watch->exchange, HttpStatus::ok, { { "events", events }, { "current-rev", this->revision } });
        watch = this->watches.erase(watch);
    }
}

} // namespace Primrosefork::Testkit
