#include "soakcaller.h"

#include "faultyserver.h"
#include "messages.h"

#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork::Measure {

namespace {

using Testkit::FaultyServer;
using Milliseconds = std::chrono::milliseconds;

constexpr Milliseconds hangLimit = 15s; ///< Longer than any deadline and any pause of a process.
constexpr Milliseconds reconnectDelay = 100ms;
constexpr Milliseconds probePeriod = 200ms;
constexpr int statusUnauthorized = 401;
constexpr int statusTooMany = 429;
constexpr int statusUnavailable = 503;
constexpr int statusOk = 200;

struct Route {
    const char* prefix;
    CallKind kind;
};

constexpr Route routes[] = { { "/once/", CallKind::Once }, { "/read/", CallKind::Read }, { "/stream/", CallKind::Stream }, { "/chat/", CallKind::Stream } };

} // namespace

SoakCaller::SoakCaller(
    EventLoop& loop, PromiseLedger& ledger, CallObserver& observer, std::size_t node, Address address, std::string name, std::mt19937 generator, Credential credential)
    : loop(loop)
    , ledger(ledger)
    , observer(observer)
    , node(node)
    , address(std::move(address))
    , name(std::move(name))
    , generator(generator)
    , credential(credential)
{
}

auto SoakCaller::poll(const CallerConditions& conditions, PromiseLedger::Time now) -> void
{
    if (this->connection && !this->request.empty()) {
        if (Testkit::isCompleteAnswer(this->connection->received))
            this->end(now);
        else if (this->connection->isClosed || now > this->sentAt + hangLimit)
            this->drop(now);
    }
    if (this->connection && this->connection->isClosed)
        this->drop(now);
    if (!this->request.empty() || now < this->nextAt || (!this->connection && !conditions.canConnect))
        return;
    if (!this->connection)
        this->connection = std::make_unique<Testkit::RawCaller>(this->loop, this->address);
    this->send(conditions, now);
}

auto SoakCaller::send(const CallerConditions& conditions, PromiseLedger::Time now) -> void
{
    constexpr unsigned deadlyPart = 4; ///< One request in so many is deadly while some are.
    this->request = this->name + "-" + std::to_string(++this->count);
    this->sentAt = now;
    const auto isProbe = this->credential == Credential::OfVersion;
    const auto& route = isProbe ? routes[1] : routes[this->generator() % std::size(routes)];
    this->kind = route.kind;
    this->version = isProbe ? conditions.version - this->count % 2 : 0;
    const auto isDeadly = !isProbe && conditions.sendsDeadly && this->generator() % deadlyPart == 0;
    this->ledger.requestSent(this->request, this->kind, this->node, now);
    const auto parts = Testkit::promptParts(isDeadly ? FaultyServer::deadlyPart : "b2");
    this->connection->send(isProbe ? Testkit::makeRequest(route.prefix, this->request, "", "v-" + std::to_string(this->version)) : Testkit::makeRequest(route.prefix, this->request, parts));
}

auto SoakCaller::end(PromiseLedger::Time now) -> void
{
    const auto& received = this->connection->received;
    const auto isComplete = Testkit::isCompleteAnswer(received);
    const auto status = Testkit::statusOf(received);
    const auto sent = std::exchange(this->request, "");
    const auto isRefusal = status == statusUnavailable || status == statusTooMany;
    const auto isProbe = this->credential == Credential::OfVersion;
    if (!isProbe || status != statusUnauthorized)
        this->ledger.callEnded(sent, { status, isComplete, Testkit::bodyOf(received), FaultyServer::expectedBody(sent, this->kind == CallKind::Stream) }, now);
    if (isProbe && isComplete && !isRefusal)
        this->ledger.credentialTried(this->node, this->version, status != statusUnauthorized, this->sentAt);
    if (status == statusOk && isComplete)
        this->observer.callSucceeded(this->node, this->kind, this->sentAt);
    const auto closes = Testkit::headerOf(received, "Connection") == "close";
    this->connection->received.clear();
    if (closes)
        this->connection.reset();
    this->scheduleNext(now);
}

auto SoakCaller::drop(PromiseLedger::Time now) -> void
{
    if (!this->request.empty())
        this->end(now);
    this->connection.reset();
    this->nextAt = std::max(this->nextAt, now + reconnectDelay);
}

auto SoakCaller::scheduleNext(PromiseLedger::Time now) -> void
{
    constexpr unsigned idlePart = 12; ///< One pause in so many is long.
    constexpr unsigned longPause = 3'500; ///< In milliseconds.
    constexpr unsigned shortPause = 120;
    const auto isLong = this->generator() % idlePart == 0;
    const Milliseconds pause(this->generator() % (isLong ? longPause : shortPause));
    this->nextAt = now + (this->credential == Credential::OfVersion ? probePeriod : pause);
}

} // namespace Primrosefork::Measure
