#include "replayer.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork::Measure {

namespace {

constexpr std::string_view endMark = R"("done":true)";
constexpr auto answerTimeout = 120s;

auto elapsedSince(EventLoop::TimePoint moment) -> std::chrono::microseconds
{
    return std::chrono::duration_cast<std::chrono::microseconds>(EventLoop::now() - moment);
}

} // namespace

struct Replayer::RequestState {
    Outcome outcome;
    std::shared_ptr<HttpCall> call;
    EventLoop::TimePoint sent;
    EventLoop::TimePoint lastPiece;
    bool isFinished = false;
};

Replayer::Replayer(std::vector<Address> nodes, std::string credential)
    : client(this->loop)
    , nodes(std::move(nodes))
    , credential(std::move(credential))
    , sendTimer(this->loop, [this] { this->sendDue(); })
    , drainTimer(this->loop, [this] { this->loop.stop(); })
{
}

Replayer::~Replayer() = default;

auto Replayer::addTask(std::chrono::milliseconds at, std::function<void()> task) -> void
{
    this->tasks.emplace_back(at, std::move(task));
}

auto Replayer::replay(const Trace& trace, std::chrono::milliseconds drainTimeout) -> std::vector<Outcome>
{
    this->trace = &trace;
    this->drainTimeout = drainTimeout;
    this->start = EventLoop::now();
    for (const auto& [at, task] : this->tasks) {
        this->taskTimers.push_back(std::make_unique<Timer>(this->loop, task));
        this->taskTimers.back()->start(at);
    }
    this->sendDue();
    this->loop.run();

    std::vector<Outcome> outcomes;
    for (const auto& open : this->requests) {
        if (!open->isFinished) {
            open->outcome.duration = elapsedSince(open->sent);
            open->call->cancel();
        }
        outcomes.push_back(open->outcome);
    }
    return outcomes;
}

auto Replayer::sendDue() -> void
{
    const auto elapsed = elapsedSince(this->start);
    while (this->next < this->trace->size() && (*this->trace)[this->next].at <= elapsed)
        this->send(this->next++);
    if (this->next < this->trace->size())
        return this->sendTimer.start((*this->trace)[this->next].at - elapsed);
    this->drainTimer.start(this->drainTimeout);
    this->finishWhenDone();
}

auto Replayer::send(std::size_t index) -> void
{
    const auto& request = (*this->trace)[index];
    const nlohmann::json body { { "prompt", request.prompt }, { "max_tokens", request.maxTokens }, { "stream", true } };
    const HttpRequest message { "POST", "/v1/services/desk/" + request.route, "", { { "Authorization", "Bearer " + this->credential } }, body.dump() };
    this->requests.push_back(std::make_unique<RequestState>());
    auto& open = *this->requests.back();
    open.outcome.at = request.at;
    open.outcome.isLong = request.isLong;
    open.sent = EventLoop::now();
    this->openShortRequests += request.isLong ? 0 : 1;

    HttpCallOptions options;
    options.firstByteTimeout = answerTimeout;
    options.idleTimeout = answerTimeout;
    options.maxResponseBytes = 0;
    HttpCallHandlers handlers;
    handlers.onHeaders = [&open](int status, const HttpHeaders&) { open.outcome.status = status; };
    handlers.onPiece = [this, &open](std::string_view piece) { this->recordPiece(open, piece); };
    handlers.onDone = [this, &open](std::error_code error) { this->finishRequest(open, error); };
    open.call = this->client.send(this->nodes[index % this->nodes.size()], message, options, std::move(handlers));
}

auto Replayer::recordPiece(RequestState& open, std::string_view piece) -> void
{
    auto& outcome = open.outcome;
    if (outcome.status != HttpStatus::ok)
        return;
    if (!outcome.firstPiece)
        outcome.firstPiece = elapsedSince(open.sent);
    else
        outcome.longestStall = std::max(outcome.longestStall, elapsedSince(open.lastPiece));
    open.lastPiece = EventLoop::now();
    outcome.tokens += std::count(piece.begin(), piece.end(), '\n');
    if (piece.find(endMark) != std::string_view::npos) {
        outcome.isWhole = true;
        --outcome.tokens;
    }
}

auto Replayer::finishRequest(RequestState& open, std::error_code /*error*/) -> void
{
    open.isFinished = true;
    open.outcome.isCutOff = !open.outcome.isWhole && open.outcome.firstPiece;
    open.outcome.duration = elapsedSince(open.sent);
    this->openShortRequests -= open.outcome.isLong ? 0 : 1;
    this->finishWhenDone();
}

auto Replayer::finishWhenDone() -> void
{
    if (this->next == this->trace->size() && this->openShortRequests == 0)
        this->loop.stop();
}

} // namespace Primrosefork::Measure
