#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace Primrosefork {

/** Requests that began to run, by workspace. */
using UsageCounts = std::map<std::string, std::uint64_t>;

/** The number of an accounting window: how many windows fit between 1970 and its start. */
using UsageWindow = std::int64_t;

/**
 * Counts the requests that began to run on behalf of each workspace, by
 * accounting window, and keeps the last few windows.
 */
class UsageLedger {
public:
    using WallTime = std::chrono::milliseconds; ///< Since 1970.

    explicit UsageLedger(std::chrono::milliseconds windowLength);

    /** A request of \a workspace began to run at \a at. */
    auto requestBegan(const std::string& workspace, WallTime at) -> void;

    [[nodiscard]] auto windowAt(WallTime at) const -> UsageWindow;

    /** Returns when \a window ends. */
    [[nodiscard]] auto endOf(UsageWindow window) const -> WallTime;

    /** Returns the windows that are kept, oldest first. */
    [[nodiscard]] auto windows() const -> const std::map<UsageWindow, UsageCounts>& { return this->counts; }

private:
    std::chrono::milliseconds windowLength;
    std::map<UsageWindow, UsageCounts> counts;
};

} // namespace Primrosefork
