#include "forwardrun.h"

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::milliseconds defaultServerWait = 100ms; ///< Longest wait for a server if the route has no objective.
constexpr int serverWaitDivisor = 4; ///< The longest wait for a server is the route's objective divided by this.

} // namespace

auto ForwardRun::advance() -> void
{
    if (this->phase != Phase::Waiting)
        return;
    if (this->quarantineLeft())
        return this->giveUp();
    const auto now = EventLoop::now();
    if (const auto* server = this->context.servers.chooseServer(this->details, this->excluded, now))
        return this->send(*server);
    if (this->holdForRoom(now))
        return;
    if (!this->excluded.empty() || this->context.servers.pauseLeft(this->details.service->name, now))
        return this->giveUp();
    const auto objective = this->details.route->objective;
    const auto maxWait = objective > 0ms ? objective / serverWaitDivisor : defaultServerWait;
    if (now - this->details.received >= maxWait)
        this->giveUp();
}

auto ForwardRun::holdForRoom(EventLoop::TimePoint now) -> bool
{
    if (!this->details.mayBeHeld)
        return false;
    // A server that was full may have room by the time the request is tried again.
    auto others = this->excluded;
    std::erase_if(others, [this](const auto& id) { return this->full.contains(id); });
    const auto decision = this->context.servers.requestRoom(this->details, others, now);
    if (decision.outcome == RoomDecision::Outcome::NotHeld)
        return false;
    if (decision.outcome == RoomDecision::Outcome::Refused) {
        this->refuse("no_room", decision.retryAfter);
        return true;
    }
    this->phase = Phase::Waiting;
    this->excluded = std::move(others);
    this->full.clear();
    return true;
}

auto ForwardRun::noteFull(const ForwardAttempt& current) -> void
{
    // A server that asks for a pause or leaves is left out for that reason.
    if (current.status != HttpStatus::unavailable || current.reply.retryAfter || current.reply.isServerLeaving)
        return;
    this->full.insert(current.server.id);
    this->context.servers.serverFull(current.server, EventLoop::now());
}

auto ForwardRun::refuseWaiting(const char* reason, std::chrono::milliseconds retryAfter) -> void
{
    if (this->phase == Phase::Waiting)
        this->refuse(reason, retryAfter);
}

} // namespace Primrosefork
