#include "forwardattempt.h"

namespace Primrosefork {

namespace {

constexpr int firstErrorStatus = 400;

} // namespace

auto ForwardAttempt::isSuccess() const -> bool
{
    return this->status >= HttpStatus::ok && this->status < firstErrorStatus;
}

auto ForwardAttempt::isBrokenOff() const -> bool
{
    if (this->isEventStream)
        return this->events.hasPartialEvent() || (this->endsWithConnection && !this->firstEvent);
    // An empty body that ends with its connection looks the same as one that was cut off after the head.
    return this->endsWithConnection && this->isSuccess() && this->bodyBytes == 0;
}

} // namespace Primrosefork
