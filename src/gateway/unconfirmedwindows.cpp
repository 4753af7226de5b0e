#include "unconfirmedwindows.h"

#include <utility>

namespace Primrosefork {

auto UnconfirmedWindows::select(std::vector<WindowReport> windows, std::uint32_t sequence) -> std::vector<WindowReport>
{
    if (!windows.empty())
        std::erase_if(this->confirmedCounts, [&windows](const auto& entry) { return entry.first < windows.front().window; });
    std::erase_if(windows, [this](const auto& entry) {
        const auto found = this->confirmedCounts.find(entry.window);
        return found != this->confirmedCounts.end() && found->second == entry.counts;
    });
    this->reported = windows;
    this->reportSequence = sequence;
    return windows;
}

auto UnconfirmedWindows::confirmed(std::uint32_t sequence) -> void
{
    if (sequence != this->reportSequence)
        return;
    this->reportSequence = 0;
    for (auto& entry : std::exchange(this->reported, {}))
        this->confirmedCounts[entry.window] = std::move(entry.counts);
}

auto UnconfirmedWindows::reset() -> void
{
    this->confirmedCounts.clear();
    this->reported.clear();
    this->reportSequence = 0;
}

} // namespace Primrosefork
