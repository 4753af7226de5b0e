#include "forwardattempt.h"

namespace Primrosefork {

namespace {

constexpr int firstErrorStatus = 400;

} // namespace

auto ForwardAttempt::isSuccess() const -> bool
{
    return this->status >= HttpStatus::ok && this->status < firstErrorStatus;
}

} // namespace Primrosefork
