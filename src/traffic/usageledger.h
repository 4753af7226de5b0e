#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace Primrosefork {

/** Number of requests that began to run, by workspace. */
using UsageCounts = std::map<std::string, std::uint64_t>;

/** Number of an accounting window; window 0 begins with the year 1970. */
using UsageWindow = std::int64_t;

/**
 * Counts the requests of each workspace that began to run, by accounting window,
 * and keeps the counts of the last few windows.
 */
class UsageLedger {
public:
    using WallTime = std::chrono::milliseconds; ///< Time since 1970.

    explicit UsageLedger(std::chrono::nanoseconds windowLength);

    /** Counts a request of \a workspace that began to run at \a at. */
    auto requestBegan(const std::string& workspace, WallTime at) -> void;

    /** Returns the window that contains \a at. */
    [[nodiscard]] auto windowAt(WallTime at) const -> UsageWindow;

    /** Returns when \a window ends. */
    [[nodiscard]] auto endOf(UsageWindow window) const -> WallTime;

    /** Returns the counts of the kept windows, oldest first. */
    [[nodiscard]] auto windows() const -> const std::map<UsageWindow, UsageCounts>& { return this->counts; }

private:
    std::chrono::nanoseconds windowLength;
    std::map<UsageWindow, UsageCounts> counts;
};

} // namespace Primrosefork
