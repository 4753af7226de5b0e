#include "eventloop.h"

#include <event2/event.h>
#include <utility>

namespace Primrosefork {

namespace {

auto toTimeval(std::chrono::microseconds duration) -> timeval
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration);
    return { seconds.count(), (duration - seconds).count() };
}

auto runPosted(evutil_socket_t /*socket*/, short /*events*/, void* argument) -> void
{
    const std::unique_ptr<std::function<void()>> task(static_cast<std::function<void()>*>(argument));
    (*task)();
}

} // namespace

EventLoop::EventLoop()
    : eventBase(event_base_new())
    , dueEvent(evtimer_new(
          this->eventBase, [](evutil_socket_t, short events, void* self) { static_cast<EventLoop*>(self)->dueReached((events & EV_TIMEOUT) != 0); }, this))
{
}

EventLoop::~EventLoop()
{
    event_free(this->dueEvent);
    event_base_free(this->eventBase);
}

auto EventLoop::run() -> void
{
    event_base_loop(this->eventBase, EVLOOP_NO_EXIT_ON_EMPTY);
}

auto EventLoop::runOnce() -> void
{
    event_base_loop(this->eventBase, EVLOOP_NONBLOCK);
}

auto EventLoop::stop() -> void
{
    event_base_loopbreak(this->eventBase);
}

auto EventLoop::post(std::function<void()> task) -> void
{
    auto owned = std::make_unique<std::function<void()>>(std::move(task));
    const timeval immediately { 0, 0 };
    if (event_base_once(this->eventBase, -1, EV_TIMEOUT, runPosted, owned.get(), &immediately) == 0)
        static_cast<void>(owned.release());
}

auto EventLoop::queueTask(Timer& timer) -> void
{
    this->dueTimers.push_back(&timer);
    // Input that has arrived up to the end of this turn is read in the next one.
    const timeval nextTurn { 0, 0 };
    if (evtimer_pending(this->dueEvent, nullptr) == 0)
        evtimer_add(this->dueEvent, &nextTurn);
}

auto EventLoop::dueReached(bool isTurnBeginning) -> void
{
    // In one turn, libevent calls expired timers before the deferred callbacks of the buffers that it has just filled, so the tasks queue behind these.
    if (isTurnBeginning)
        return event_active(this->dueEvent, EV_READ, 1);
    while (!this->dueTimers.empty()) {
        auto* timer = this->dueTimers.front();
        this->dueTimers.pop_front();
        timer->isDue = false;
        timer->task();
    }
}

Timer::Timer(EventLoop& loop, std::function<void()> task)
    : loop(loop)
    , task(std::move(task))
    , delayEvent(evtimer_new(
          loop.base(), [](evutil_socket_t, short, void* self) { static_cast<Timer*>(self)->expired(); }, this))
{
}

Timer::~Timer()
{
    this->stop();
    event_free(this->delayEvent);
}

auto Timer::start(std::chrono::microseconds delay) -> void
{
    this->stop();
    const auto wait = toTimeval(delay);
    evtimer_add(this->delayEvent, &wait);
}

auto Timer::startRepeating(std::chrono::microseconds every) -> void
{
    this->start(every);
    this->period = every;
}

auto Timer::stop() -> void
{
    this->period = std::chrono::microseconds(0);
    evtimer_del(this->delayEvent);
    if (std::exchange(this->isDue, false))
        this->loop.dueTimers.remove(this);
}

auto Timer::isRunning() const -> bool
{
    return this->isDue || evtimer_pending(this->delayEvent, nullptr) != 0;
}

auto Timer::expired() -> void
{
    if (this->period.count() > 0) {
        const auto wait = toTimeval(this->period);
        evtimer_add(this->delayEvent, &wait);
    }
    if (!std::exchange(this->isDue, true))
        this->loop.queueTask(*this);
}

SignalWatcher::SignalWatcher(EventLoop& loop, int signalNumber, std::function<void()> task)
    : task(std::move(task))
    , signalEvent(evsignal_new(
          loop.base(), signalNumber, [](evutil_socket_t, short, void* self) { static_cast<SignalWatcher*>(self)->task(); }, this))
{
    evsignal_add(this->signalEvent, nullptr);
}

SignalWatcher::~SignalWatcher()
{
    event_free(this->signalEvent);
}

} // namespace Primrosefork
