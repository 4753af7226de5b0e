#include "bootclock.h"

#include <ctime>

namespace Primrosefork {

auto BootClock::now() -> time_point
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace Primrosefork
