#include "inputtimeout.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/ioctl.h>
#include <utility>

namespace Primrosefork {

InputTimeout::InputTimeout(EventLoop& loop, bufferevent* stream, std::chrono::milliseconds timeout, std::function<void()> released)
    : stream(stream)
    , timeout(timeout)
    , released(std::move(released))
    , timer(loop, [this] { this->expired(); })
    , inputWatch(evbuffer_add_cb(
          bufferevent_get_input(stream),
          [](evbuffer*, const evbuffer_cb_info* change, void* self) { static_cast<InputTimeout*>(self)->inputChanged(change->n_added); }, this))
{
    // The owner may free the stream without notice.
    bufferevent_incref(this->stream);
    this->start();
}

InputTimeout::~InputTimeout()
{
    evbuffer_remove_cb_entry(bufferevent_get_input(this->stream), this->inputWatch);
    bufferevent_decref(this->stream);
}

auto InputTimeout::start() -> void
{
    this->timer.start(this->timeout);
}

auto InputTimeout::stop() -> void
{
    this->timer.stop();
}

auto InputTimeout::inputChanged(std::size_t addedBytes) -> void
{
    if (addedBytes > 0 && this->timer.isRunning())
        this->start();
}

auto InputTimeout::expired() -> void
{
    if (this->isReleased()) {
        // Copied, because the handler may destroy the timeout and with it the member.
        const auto handler = this->released;
        return handler();
    }
    if (this->hasUnreadInput())
        return this->start();
    bufferevent_disable(this->stream, EV_READ);
    bufferevent_trigger_event(this->stream, BEV_EVENT_READING | BEV_EVENT_TIMEOUT, 0);
}

auto InputTimeout::isReleased() const -> bool
{
    bufferevent_event_cb handler = nullptr;
    bufferevent_getcb(this->stream, nullptr, nullptr, &handler, nullptr);
    return !handler;
}

auto InputTimeout::hasUnreadInput() const -> bool
{
    int unread = 0;
    return ioctl(bufferevent_getfd(this->stream), FIONREAD, &unread) == 0 && unread > 0;
}

} // namespace Primrosefork
