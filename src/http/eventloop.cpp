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
{
}

EventLoop::~EventLoop()
{
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

Timer::Timer(EventLoop& loop, std::function<void()> task)
    : task(std::move(task))
    , delayEvent(evtimer_new(
          loop.base(), [](evutil_socket_t, short, void* self) { static_cast<Timer*>(self)->expired(); }, this))
    , taskEvent(evtimer_new(
          loop.base(), [](evutil_socket_t, short events, void* self) { static_cast<Timer*>(self)->taskDue((events & EV_TIMEOUT) != 0); }, this))
{
}

Timer::~Timer()
{
    event_free(this->delayEvent);
    event_free(this->taskEvent);
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
    evtimer_del(this->taskEvent);
}

auto Timer::isRunning() const -> bool
{
    return evtimer_pending(this->delayEvent, nullptr) != 0 || event_pending(this->taskEvent, EV_TIMEOUT | EV_READ, nullptr) != 0;
}

auto Timer::expired() -> void
{
    if (this->period.count() > 0) {
        const auto wait = toTimeval(this->period);
        evtimer_add(this->delayEvent, &wait);
    }
    // Input that has arrived up to the end of this turn is read in the next one.
    const timeval nextTurn { 0, 0 };
    evtimer_add(this->taskEvent, &nextTurn);
}

auto Timer::taskDue(bool isTurnBeginning) -> void
{
    // In one turn, libevent calls expired timers before the deferred callbacks of the buffers that it has just filled, so the task queues behind these.
    if (isTurnBeginning)
        return event_active(this->taskEvent, EV_READ, 1);
    this->task();
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
