#include "forwardattempt.h"

namespace Primrosefork {

namespace {

constexpr int firstErrorStatus = 400;

} // namespace

auto ForwardAttempt::isSuccess() const -> bool
{
    return this->status >= HttpStatus::ok && this->status < firstErrorStatus;
}

auto ForwardAttempt::isUnconfirmedRefusal() const -> bool
{
    const auto isRefusal = this->status == HttpStatus::requestTimeout || this->status == HttpStatus::tooManyRequests || this->status == HttpStatus::unavailable;
    return isRefusal && !this->reply.isNotRun;
}

auto ForwardAttempt::isBrokenOff() const -> bool
{
    if (this->isEventStream)
        return this->events.hasPartialEvent() || (this->endsWithConnection && !this->firstEvent);
    // An empty body that ends with its connection looks the same as one that was cut off after the head.
    return this->endsWithConnection && this->isSuccess() && this->bodyBytes == 0;
}

} // namespace Primrosefork
