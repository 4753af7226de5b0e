#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace Primrosefork {

/** Names one datagram: its sender, the start of that process, and a count. */
struct DatagramStamp {
    std::uint64_t session = 0; ///< Goes up with each start of the sender.
    std::uint32_t sequence = 0;
    std::chrono::milliseconds sentAt { 0 }; ///< Since the epoch, by the sender's clock.

    auto operator==(const DatagramStamp&) const -> bool = default;
};

/** How the guard judges a datagram. */
enum class ReplayVerdict {
    Fresh,
    Old,
    Replayed,
};

/**
 * Tells datagrams that came before, or that are too old, from fresh ones: a
 * window over the sequence of each sender, and a limit on the age.
 */
class ReplayGuard {
public:
    using WallTime = std::chrono::milliseconds;

    explicit ReplayGuard(std::chrono::milliseconds tolerance);

    /** Returns whether the datagram \a stamp of \a sender is fresh at \a now, and remembers it when it is. */
    auto admit(const std::string& sender, const DatagramStamp& stamp, WallTime now) -> ReplayVerdict;

private:
    struct Window {
        std::uint64_t session = 0;
        std::uint32_t highest = 0;
        std::uint64_t seen = 0; ///< Bit n stands for highest - n.
        WallTime lastAdmitted { 0 };
    };

    auto forgetOldSenders(WallTime now) -> void;

    std::chrono::milliseconds tolerance;
    WallTime nextCleaning { 0 };
    std::map<std::string, Window> windows;
};

} // namespace Primrosefork
