#include "streamcaller.h"

#include "cluster.h"
#include "tokentext.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork::Testkit {

namespace {

using Json = nlohmann::json;

constexpr auto askAgainDelay = 50ms;

auto toMilliseconds(EventLoop::TimePoint::duration duration) -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

} // namespace

StreamCaller::StreamCaller(BlockingClient& client, StreamOrder order)
    : client(client)
    , order(std::move(order))
    , timer(std::make_unique<Timer>(client.eventLoop(), [this] { this->ask(); }))
    , node(this->order.firstNode)
{
}

StreamCaller::~StreamCaller()
{
    this->leave();
}

auto StreamCaller::begin() -> void
{
    this->begun = EventLoop::now();
    this->ask();
}

auto StreamCaller::leave() -> void
{
    this->timer->stop();
    if (const auto running = std::exchange(this->call, nullptr))
        running->cancel();
}

auto StreamCaller::ask() -> void
{
    ++this->result.asks;
    this->buffer.clear();
    this->status = 0;
    Json body { { "prompt", this->order.prompt }, { "max_tokens", this->order.tokens }, { "stream", true } };
    if (this->result.received > 0) {
        body["offset"] = this->result.received;
        body["delivered"] = this->delivered;
    }
    HttpHeaders headers { { "Authorization", std::string("Bearer ") + Cluster::callerKey } };
    if (!this->order.key.empty())
        headers.add("Request-Key", this->order.key);
    HttpCallOptions options;
    options.firstByteTimeout = this->order.idleLimit;
    options.idleTimeout = this->order.idleLimit;
    options.answerBytes = 0;
    options.usesFreshConnection = true;
    HttpCallHandlers handlers;
    handlers.onHeaders = [this](int answered, const HttpHeaders&) { this->status = answered; };
    handlers.onPiece = [this](std::string_view piece) { this->received(piece); };
    handlers.onDone = [this](std::error_code) { this->ended(); };
    const auto& address = this->order.nodes.at(this->node++ % this->order.nodes.size());
    this->call = this->client.httpClient().send(address, { "POST", this->order.path, "", headers, body.dump() }, options, std::move(handlers));
}

auto StreamCaller::received(std::string_view piece) -> void
{
    if (this->status != HttpStatus::ok)
        return;
    this->buffer += piece;
    std::size_t end = 0;
    while ((end = this->buffer.find('\n')) != std::string::npos) {
        const auto line = this->buffer.substr(0, end);
        this->buffer.erase(0, end + 1);
        this->readLine(line);
    }
}

auto StreamCaller::readLine(const std::string& line) -> void
{
    const auto json = Json::parse(line, nullptr, false);
    if (json.is_object() && json.value("done", false)) {
        this->result.isWhole = json.value("tokens", std::int64_t { -1 }) == this->order.tokens && this->result.received == this->order.tokens;
        return;
    }
    if (json.is_object())
        this->readToken(json.value("offset", std::int64_t { -1 }), json.value("text", ""));
    else
        ++this->result.wrongTokens;
}

auto StreamCaller::readToken(std::int64_t offset, const std::string& text) -> void
{
    const auto now = EventLoop::now();
    if (this->result.received == 0)
        this->result.firstToken = toMilliseconds(now - this->begun);
    else
        this->result.longestStall = std::max(this->result.longestStall, toMilliseconds(now - this->lastToken));
    this->lastToken = now;
    if (offset != this->result.received)
        ++(offset < this->result.received ? this->result.repeats : this->result.gaps);
    if (text != this->expectedText(text))
        ++this->result.wrongTokens;
    this->delivered += text;
    ++this->result.received;
}

auto StreamCaller::expectedText(const std::string& text) const -> std::string
{
    if (!this->order.dependsOnHistory)
        return tokenText(this->order.prompt, this->result.received);
    constexpr std::size_t suffixBytes = 2; // The variant and a space.
    const auto variant = text.size() < suffixBytes ? "" : text.substr(text.size() - suffixBytes, 1);
    return variantTokenText(this->order.prompt + this->delivered, variant);
}

auto StreamCaller::ended() -> void
{
    this->call.reset();
    if (this->result.isWhole)
        return;
    if (this->status != 0 && this->status != HttpStatus::ok)
        ++this->result.refusals;
    this->timer->start(askAgainDelay);
}

auto totalsOf(const std::vector<std::unique_ptr<StreamCaller>>& callers) -> StreamTotals
{
    StreamTotals totals;
    for (const auto& caller : callers) {
        const auto& record = caller->record();
        totals.whole += record.isWhole ? 1 : 0;
        totals.right += record.isRight() ? 1 : 0;
        totals.wrongTokens += record.wrongTokens;
        totals.gaps += record.gaps;
        totals.repeats += record.repeats;
        totals.asks += record.asks;
        totals.longestStall = std::max(totals.longestStall, record.longestStall);
        totals.longestFirstToken = std::max(totals.longestFirstToken, record.firstToken);
    }
    return totals;
}

auto readMetric(BlockingClient& client, const Address& operators, const std::string& name) -> double
{
    const auto answer = client.get(operators, "/metrics", { { "Authorization", std::string("Bearer ") + Cluster::operatorKey } });
    std::istringstream lines(answer.response.body);
    for (std::string line; std::getline(lines, line);) {
        const auto space = line.rfind(' ');
        const auto label = line.substr(0, space);
        if (space != std::string::npos && (label == name || label == "primrosefork_" + name))
            return std::stod(line.substr(space + 1));
    }
    return 0;
}

} // namespace Primrosefork::Testkit
