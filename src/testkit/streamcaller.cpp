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

constexpr auto retryDelay = 50ms;

auto toMilliseconds(EventLoop::TimePoint::duration duration) -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

} // namespace

StreamCaller::StreamCaller(BlockingClient& client, StreamRequest request)
    : client(client)
    , request(std::move(request))
    , retryTimer(std::make_unique<Timer>(client.eventLoop(), [this] { this->sendRequest(); }))
    , nextNode(this->request.firstNode)
{
}

StreamCaller::~StreamCaller()
{
    this->disconnect();
}

auto StreamCaller::begin() -> void
{
    this->startedAt = EventLoop::now();
    this->sendRequest();
}

auto StreamCaller::disconnect() -> void
{
    this->retryTimer->stop();
    if (const auto running = std::exchange(this->call, nullptr))
        running->cancel();
}

auto StreamCaller::sendRequest() -> void
{
    ++this->result.requests;
    this->buffer.clear();
    this->status = 0;
    Json body { { "prompt", this->request.prompt }, { "max_tokens", this->request.tokens }, { "stream", true } };
    if (this->result.received > 0) {
        body["offset"] = this->result.received;
        body["delivered"] = this->delivered;
    }
    HttpHeaders headers { { "Authorization", std::string("Bearer ") + Cluster::callerKey } };
    if (!this->request.key.empty())
        headers.add("Request-Key", this->request.key);
    HttpCallOptions options;
    options.firstByteTimeout = this->request.idleTimeout;
    options.idleTimeout = this->request.idleTimeout;
    options.maxResponseBytes = 0;
    options.usesFreshConnection = true;
    HttpCallHandlers handlers;
    handlers.onHeaders = [this](int answered, const HttpHeaders&) { this->status = answered; };
    handlers.onPiece = [this](std::string_view piece) { this->handlePiece(piece); };
    handlers.onDone = [this](std::error_code) { this->handleEnd(); };
    const auto node = this->nextNode++ % this->request.nodes.size();
    const auto& address = this->request.nodes.at(node);
    const auto now = EventLoop::now();
    this->result.sent.push_back({ node, this->result.received, 0, 0, now, now });
    this->call = this->client.httpClient().send(address, { "POST", this->request.path, "", headers, body.dump() }, options, std::move(handlers));
}

auto StreamCaller::handlePiece(std::string_view piece) -> void
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
        this->result.isComplete = json.value("tokens", std::int64_t { -1 }) == this->request.tokens && this->result.received == this->request.tokens;
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
        this->result.firstToken = toMilliseconds(now - this->startedAt);
    else
        this->recordGap(now);
    this->lastTokenAt = now;
    ++this->result.sent.back().received;
    if (offset != this->result.received)
        ++(offset < this->result.received ? this->result.repeats : this->result.gaps);
    if (text != this->expectedText(text))
        ++this->result.wrongTokens;
    this->delivered += text;
    ++this->result.received;
}

auto StreamCaller::recordGap(EventLoop::TimePoint now) -> void
{
    const auto gap = toMilliseconds(now - this->lastTokenAt);
    if (gap <= this->result.longestStall)
        return;
    this->result.longestStall = gap;
    this->result.longestStallEnd = now;
}

auto StreamCaller::expectedText(const std::string& text) const -> std::string
{
    if (!this->request.dependsOnHistory)
        return tokenText(this->request.prompt, this->result.received);
    constexpr std::size_t suffixBytes = 2; // The variant and a space.
    const auto variant = text.size() < suffixBytes ? "" : text.substr(text.size() - suffixBytes, 1);
    return variantTokenText(this->request.prompt + this->delivered, variant);
}

auto StreamCaller::handleEnd() -> void
{
    this->call.reset();
    this->result.sent.back().status = this->status;
    this->result.sent.back().ended = EventLoop::now();
    if (this->result.isComplete)
        return;
    if (this->status != 0 && this->status != HttpStatus::ok)
        ++this->result.refusals;
    this->retryTimer->start(retryDelay);
}

auto totalsOf(const std::vector<std::unique_ptr<StreamCaller>>& callers) -> StreamTotals
{
    StreamTotals totals;
    for (const auto& caller : callers) {
        const auto& record = caller->record();
        totals.complete += record.isComplete ? 1 : 0;
        totals.correct += record.isCorrect() ? 1 : 0;
        totals.wrongTokens += record.wrongTokens;
        totals.gaps += record.gaps;
        totals.repeats += record.repeats;
        totals.requests += record.requests;
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
