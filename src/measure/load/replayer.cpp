#include "replayer.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork::Measure {

namespace {

constexpr std::string_view endMark = R"("done":true)";
constexpr auto answerLimit = 120s;

auto since(EventLoop::TimePoint moment) -> std::chrono::microseconds
{
    return std::chrono::duration_cast<std::chrono::microseconds>(EventLoop::now() - moment);
}

} // namespace

struct Replayer::Open {
    Outcome outcome;
    std::shared_ptr<HttpCall> call;
    EventLoop::TimePoint sent;
    EventLoop::TimePoint lastPiece;
    bool hasEnded = false;
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

auto Replayer::replay(const Trace& trace, std::chrono::milliseconds drainLimit) -> std::vector<Outcome>
{
    this->trace = &trace;
    this->drainLimit = drainLimit;
    this->start = EventLoop::now();
    for (const auto& [at, task] : this->tasks) {
        this->taskTimers.push_back(std::make_unique<Timer>(this->loop, task));
        this->taskTimers.back()->start(at);
    }
    this->sendDue();
    this->loop.run();

    std::vector<Outcome> outcomes;
    for (const auto& open : this->requests) {
        if (!open->hasEnded) {
            open->outcome.duration = since(open->sent);
            open->call->cancel();
        }
        outcomes.push_back(open->outcome);
    }
    return outcomes;
}

auto Replayer::sendDue() -> void
{
    const auto elapsed = since(this->start);
    while (this->next < this->trace->size() && (*this->trace)[this->next].at <= elapsed)
        this->send(this->next++);
    if (this->next < this->trace->size())
        return this->sendTimer.start((*this->trace)[this->next].at - elapsed);
    this->drainTimer.start(this->drainLimit);
    this->finishWhenDone();
}

auto Replayer::send(std::size_t index) -> void
{
    const auto& request = (*this->trace)[index];
    const nlohmann::json body { { "prompt", request.prompt }, { "max_tokens", request.maxTokens }, { "stream", true } };
    const HttpRequest message { "POST", "/v1/services/desk/" + request.route, "", { { "Authorization", "Bearer " + this->credential } }, body.dump() };
    this->requests.push_back(std::make_unique<Open>());
    auto& open = *this->requests.back();
    open.outcome.at = request.at;
    open.outcome.isLong = request.isLong;
    open.sent = EventLoop::now();
    this->openShort += request.isLong ? 0 : 1;

    HttpCallOptions options;
    options.firstByteTimeout = answerLimit;
    options.idleTimeout = answerLimit;
    options.answerBytes = 0;
    HttpCallHandlers handlers;
    handlers.onHeaders = [&open](int status, const HttpHeaders&) { open.outcome.status = status; };
    handlers.onPiece = [this, &open](std::string_view piece) { this->received(open, piece); };
    handlers.onDone = [this, &open](std::error_code error) { this->ended(open, error); };
    open.call = this->client.send(this->nodes[index % this->nodes.size()], message, options, std::move(handlers));
}

auto Replayer::received(Open& open, std::string_view piece) -> void
{
    auto& outcome = open.outcome;
    if (outcome.status != HttpStatus::ok)
        return;
    if (!outcome.firstPiece)
        outcome.firstPiece = since(open.sent);
    else
        outcome.longestStall = std::max(outcome.longestStall, since(open.lastPiece));
    open.lastPiece = EventLoop::now();
    outcome.tokens += std::count(piece.begin(), piece.end(), '\n');
    if (piece.find(endMark) != std::string_view::npos) {
        outcome.isWhole = true;
        --outcome.tokens;
    }
}

auto Replayer::ended(Open& open, std::error_code /*error*/) -> void
{
    open.hasEnded = true;
    open.outcome.isCutOff = !open.outcome.isWhole && open.outcome.firstPiece;
    open.outcome.duration = since(open.sent);
    this->openShort -= open.outcome.isLong ? 0 : 1;
    this->finishWhenDone();
}

auto Replayer::finishWhenDone() -> void
{
    if (this->next == this->trace->size() && this->openShort == 0)
        this->loop.stop();
}

} // namespace Primrosefork::Measure
