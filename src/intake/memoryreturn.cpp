#include "memoryreturn.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto minInterval = 1s;

} // namespace

auto MemoryReturn::isDue(std::size_t buffered, std::size_t peak, TimePoint now) -> bool
{
    this->highest = std::max({ this->highest, peak, buffered });
    if (this->highest - buffered < this->minimum || now - this->last < minInterval)
        return false;
    this->highest = buffered;
    this->last = now;
    return true;
}

} // namespace Primrosefork
