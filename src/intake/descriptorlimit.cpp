#include "descriptorlimit.h"

#include <algorithm>
#include <filesystem>
#include <limits>
#include <sys/resource.h>
#include <system_error>

namespace Primrosefork {

namespace {

constexpr std::size_t reserveDivisor = 4;

} // namespace

auto callerDescriptorLimit(const IntakeSettings& settings, std::size_t processLimit) -> std::size_t
{
    const auto most = processLimit - processLimit / reserveDivisor;
    return settings.descriptors == 0 ? most : std::min(settings.descriptors, most);
}

auto openDescriptorCount() -> std::size_t
{
    std::error_code error;
    std::size_t count = 0;
    for (std::filesystem::directory_iterator entry("/proc/self/fd", error); !error && entry != std::filesystem::directory_iterator(); entry.increment(error))
        ++count;
    return count;
}

auto processDescriptorLimit() -> std::size_t
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return std::numeric_limits<std::size_t>::max();
    return limit.rlim_cur;
}

} // namespace Primrosefork
