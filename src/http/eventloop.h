#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <list>
#include <memory>

struct event;
struct event_base;

namespace Primrosefork {

class Timer;

/**
 * The event loop of a process, which runs all callbacks on one thread.
 */
class EventLoop {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    auto operator=(const EventLoop&) -> EventLoop& = delete;

    /** Runs until stop() is called. */
    auto run() -> void;

    /** Runs the events that are ready now, without waiting for others. */
    auto runOnce() -> void;

    auto stop() -> void;

    /** Calls \a task from the loop, after the current callback has returned. */
    auto post(std::function<void()> task) -> void;

    [[nodiscard]] auto base() const -> event_base* { return this->eventBase; }

    /** Returns the current time of the steady clock. */
    [[nodiscard]] static auto now() -> TimePoint { return std::chrono::steady_clock::now(); }

private:
    friend class Timer;

    /** Calls the task of \a timer after the input that has arrived was handled; timers that are due keep their order. */
    auto queueTask(Timer& timer) -> void;

    auto dueReached(bool isTurnBeginning) -> void;

    event_base* eventBase;
    event* dueEvent; ///< Pending while timers are due.
    std::list<Timer*> dueTimers; ///< Timers whose delay has ended, the first one first.
};

/** Returns \a duration as the delay of a timer; a negative duration becomes zero. */
[[nodiscard]] constexpr auto timerDelay(EventLoop::TimePoint::duration duration) -> std::chrono::microseconds
{
    return std::max(std::chrono::duration_cast<std::chrono::microseconds>(duration), std::chrono::microseconds(0));
}

/**
 * Calls a task after a delay, once or periodically.
 *
 * When the loop was busy as the delay ended, input that arrived in that time is
 * handled first, and the task is called only if the timer was not stopped or
 * started again meanwhile.
 */
class Timer {
public:
    Timer(EventLoop&, std::function<void()> task);
    ~Timer();
    Timer(const Timer&) = delete;
    auto operator=(const Timer&) -> Timer& = delete;

    /** Calls the task once, \a delay from now. Replaces an earlier start. */
    auto start(std::chrono::microseconds delay) -> void;

    /** Calls the task every \a period, for the first time after one period. */
    auto startRepeating(std::chrono::microseconds period) -> void;

    auto stop() -> void;
    [[nodiscard]] auto isRunning() const -> bool;

private:
    friend class EventLoop;

    auto expired() -> void;

    EventLoop& loop;
    std::function<void()> task;
    std::chrono::microseconds period { 0 };
    event* delayEvent; ///< Pending until the delay has ended.
    bool isDue = false; ///< Whether the delay has ended and the task is queued.
};

/**
 * Calls a task when the process receives a signal.
 */
class SignalWatcher {
public:
    SignalWatcher(EventLoop&, int signalNumber, std::function<void()> task);
    ~SignalWatcher();
    SignalWatcher(const SignalWatcher&) = delete;
    auto operator=(const SignalWatcher&) -> SignalWatcher& = delete;

private:
    std::function<void()> task;
    event* signalEvent;
};

} // namespace Primrosefork
