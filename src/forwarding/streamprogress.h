#pragma once

#include "eventloop.h"
#include "forwardrequest.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace Primrosefork {

/**
 * How far a stream has come, measured by the events that the caller has received
 * over all attempts.
 */
class StreamProgress {
public:
    /** Counts an event that is forwarded to the caller. */
    auto eventForwarded(EventLoop::TimePoint now) -> void;

    [[nodiscard]] auto eventCount() const -> std::size_t { return this->events; }

    /** Returns the time until the stream of \a request to a model service ends, if it goes on at the same rate and uses all tokens that the request asks for. */
    [[nodiscard]] auto remainingTime(const ForwardRequest& request, EventLoop::TimePoint now) const -> std::chrono::milliseconds;

    /** Returns whether the caller has as many events as the tokens that \a request to a model service asks for can fill. */
    [[nodiscard]] auto hasAllEvents(const ForwardRequest& request) const -> bool;

private:
    std::size_t events = 0;
    EventLoop::TimePoint firstEvent;
};

} // namespace Primrosefork
