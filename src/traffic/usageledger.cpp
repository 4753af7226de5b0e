#include "usageledger.h"

namespace Primrosefork {

namespace {

constexpr std::size_t keptWindows = 4; ///< Number of windows that are kept; the report of a window is due at most two windows later.

} // namespace

UsageLedger::UsageLedger(std::chrono::nanoseconds windowLength)
    : windowLength(windowLength)
{
}

auto UsageLedger::requestBegan(const std::string& workspace, WallTime at) -> void
{
    ++this->counts[this->windowAt(at)][workspace];
    while (this->counts.size() > keptWindows)
        this->counts.erase(this->counts.begin());
}

auto UsageLedger::windowAt(WallTime at) const -> UsageWindow
{
    return at / this->windowLength;
}

auto UsageLedger::endOf(UsageWindow window) const -> WallTime
{
    return std::chrono::ceil<WallTime>((window + 1) * this->windowLength);
}

} // namespace Primrosefork
