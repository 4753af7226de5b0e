#include "streamprogress.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::milliseconds unknownRemainingTime = 1h; ///< Assumed until the rate of a stream can be measured.

auto tokensPerEvent(const ForwardRequest& request) -> std::int64_t
{
    return std::max<std::int64_t>(1, request.service->engine->tokensPerEvent);
}

} // namespace

auto StreamProgress::eventForwarded(EventLoop::TimePoint now) -> void
{
    if (this->events == 0)
        this->firstEvent = now;
    ++this->events;
}

auto StreamProgress::remainingTime(const ForwardRequest& request, EventLoop::TimePoint now) const -> std::chrono::milliseconds
{
    const auto allEvents = request.fields.outputTokens / tokensPerEvent(request);
    const auto received = static_cast<std::int64_t>(this->events);
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->firstEvent);
    // The rate is measured from the first event, so a run with fewer than two events counts as just started.
    return received < 2 ? unknownRemainingTime : time * std::max<std::int64_t>(0, allEvents - received) / (received - 1);
}

auto StreamProgress::hasAllEvents(const ForwardRequest& request) const -> bool
{
    const auto& fields = request.fields;
    return fields.hasTokenCounts && !fields.lastEventId && static_cast<std::int64_t>(this->events) * tokensPerEvent(request) >= fields.outputTokens;
}

} // namespace Primrosefork
