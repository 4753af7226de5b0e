#include "faultyserver.h"

#include "messages.h"

#include <functional>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork::Testkit {

namespace {

constexpr auto workTime = 15ms; ///< Time until a plain call is answered.
constexpr auto eventGap = 25ms;
constexpr auto slowEventGap = 180ms;
constexpr auto longestRun = 4s; ///< Longer than any answer takes.
constexpr auto repeatDelay = 30ms;
constexpr int endlessPieces = 150;
constexpr std::size_t endlessPieceSize = 16'384;

auto isStreamRequest(const std::string& request) -> bool
{
    return request.starts_with("POST /stream/") || request.starts_with("POST /chat/");
}

auto event(const std::string& id, int number) -> std::string
{
    return "id: " + std::to_string(number) + "\ndata: " + id + " " + std::to_string(number) + "/" + std::to_string(FaultyServer::eventCount(id)) + "\n\n";
}

auto gapOf(const std::string& id) -> std::chrono::milliseconds
{
    constexpr std::size_t slowPart = 5; ///< One stream in so many is slow.
    return std::hash<std::string>()(id) % slowPart == 0 ? slowEventGap : eventGap;
}

auto stream(const std::string& request, const std::string& id, const std::string& more) -> ScriptedAnswer
{
    ScriptedAnswer answer { streamHead(request, more) };
    for (int number = resumePointOf(request) + 1; number <= FaultyServer::eventCount(id); ++number)
        answer.later.push_back({ gapOf(id), chunk(event(id, number)) });
    answer.later.push_back({ 0ms, chunk("") });
    return answer;
}

auto wholeAnswer(const std::string& request, const std::string& id, const std::string& more = "") -> ScriptedAnswer
{
    if (isStreamRequest(request))
        return stream(request, id, more);
    return { .bytes = "", .later = { { workTime, answerTo(request, 200, FaultyServer::expectedBody(id, false), more) } } };
}

auto cutAnswer(const std::string& request, const std::string& id) -> ScriptedAnswer
{
    if (isStreamRequest(request)) {
        const auto next = resumePointOf(request) + 1;
        const auto text = chunk(event(id, next) + event(id, next + 1));
        return { streamHead(request) + text.substr(0, text.size() * 3 / 4), true };
    }
    const auto whole = answerTo(request, 200, FaultyServer::expectedBody(id, false));
    return { whole.substr(0, whole.size() - 3), true };
}

auto endlessAnswer(const std::string& request, const std::string& id) -> ScriptedAnswer
{
    const auto isHead = std::hash<std::string>()(id) % 2 == 0;
    ScriptedAnswer answer { isHead ? "HTTP/1.1 200 X\r\nX-Pad: " : "HTTP/1.1 200 X\r\nX-Attempt-Id: " + requestIdOf(request) + "\r\nX-Response-Seal: s\r\n\r\n" };
    for (int piece = 0; piece < endlessPieces; ++piece)
        answer.later.push_back({ 10ms, std::string(endlessPieceSize, 'a') });
    return answer;
}

} // namespace

FaultyServer::FaultyServer(EventLoop& loop, Address address, std::string id, ServerObserver& observer)
    : loop(loop)
    , listenAddress(std::move(address))
    , name(std::move(id))
    , observer(observer)
{
    this->start();
}

auto FaultyServer::start() -> void
{
    this->server = std::make_unique<ScriptedServer>(this->loop, this->listenAddress, [this](const std::string& request) { return this->answer(request); });
}

auto FaultyServer::harmRecent() -> void
{
    for (const auto& [request, arrival] : this->recent)
        this->observer.requestHarmed(request);
}

auto FaultyServer::crash() -> void
{
    this->harmRecent();
    this->recent.clear();
    this->callEnds.clear();
    this->server.reset();
}

auto FaultyServer::isFull(EventLoop::TimePoint now) -> bool
{
    while (!this->callEnds.empty() && this->callEnds.front() <= now)
        this->callEnds.pop_front();
    if (this->callEnds.size() >= this->slots)
        return true;
    this->callEnds.push_back(now + workTime);
    return false;
}

auto FaultyServer::eventCount(const std::string& id) -> int
{
    constexpr int fewest = 3;
    constexpr int range = 10;
    return fewest + static_cast<int>(std::hash<std::string>()(id) / 7 % range);
}

auto FaultyServer::expectedBody(const std::string& id, bool isStream) -> std::string
{
    if (!isStream)
        return "answer to " + id + ".";
    std::string body;
    for (int number = 1; number <= FaultyServer::eventCount(id); ++number)
        body += event(id, number);
    return body;
}

auto FaultyServer::answer(const std::string& request) -> ScriptedAnswer
{
    if (request.starts_with("POST /kv-"))
        return { answerTo(request, 200, R"({"handle":5})") };
    const auto id = requestIdOf(request);
    const auto now = EventLoop::now();
    while (!this->recent.empty() && this->recent.front().second < now - longestRun)
        this->recent.pop_front();
    this->observer.requestArrived(this->name, id);
    if (this->fault == ServerFault::AsksPause) {
        this->observer.pauseAsked(this->name, id, pause);
        return { pauseAnswer(request, std::chrono::duration<double>(pause).count()) };
    }
    if (this->slots > 0 && !isStreamRequest(request) && this->isFull(now)) {
        const auto isRepeated = std::hash<std::string>()(id) % 2 == 0;
        const auto refusal = refusalAnswer(request);
        return { .bytes = refusal, .beforeNext = isRepeated ? refusal : "" };
    }
    this->recent.emplace_back(id, now);
    this->observer.requestRan(this->name, id);
    return this->misbehave(request, id);
}

auto FaultyServer::misbehave(const std::string& request, const std::string& id) -> ScriptedAnswer
{
    if (this->fault == ServerFault::SaysLeaving) {
        this->observer.leavingSaid(this->name, id);
        return wholeAnswer(request, id, leavingLine());
    }
    const auto isDeadly = request.find(promptParts(deadlyPart)) != std::string::npos;
    if (this->fault == ServerFault::None && !isDeadly)
        return wholeAnswer(request, id);
    this->observer.requestHarmed(id);
    if (isDeadly || this->fault == ServerFault::LosesAnswers)
        return { "", true };
    if (this->fault == ServerFault::CutsAnswers)
        return cutAnswer(request, id);
    if (this->fault == ServerFault::SendsEndless)
        return endlessAnswer(request, id);
    if (this->fault == ServerFault::Silent)
        return {};
    auto answer = wholeAnswer(request, id);
    if (!isStreamRequest(request))
        answer.later.push_back({ repeatDelay, answer.later.front().bytes });
    return answer;
}

} // namespace Primrosefork::Testkit
