#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace Primrosefork {

/** Identifies one datagram of a sender by session and sequence number, and has its time of sending. */
struct DatagramStamp {
    std::uint64_t session = 0; ///< Number that increases with each start of the sender.
    std::uint32_t sequence = 0;
    std::chrono::milliseconds sentAt { 0 }; ///< Time since the Unix epoch by the sender's clock.

    auto operator==(const DatagramStamp&) const -> bool = default;
};

/** Result of the replay check of a datagram. */
enum class ReplayVerdict {
    Fresh,
    Old,
    Replayed,
};

/**
 * Detects replayed and outdated datagrams by a sliding window over the sequence
 * numbers of each sender, and by the time of sending.
 */
class ReplayGuard {
public:
    using WallTime = std::chrono::milliseconds;

    explicit ReplayGuard(std::chrono::milliseconds tolerance);

    /** Returns whether the datagram \a stamp of \a sender is fresh at \a now, and records it if it is. */
    auto admit(const std::string& sender, const DatagramStamp& stamp, WallTime now) -> ReplayVerdict;

private:
    struct Window {
        std::uint64_t session = 0;
        std::uint32_t highest = 0;
        std::uint64_t seen = 0; ///< Bit n is set if the sequence number highest - n was admitted.
        WallTime lastAdmitted { 0 };
    };

    auto evictIdleSenders(WallTime now) -> void;

    std::chrono::milliseconds tolerance;
    WallTime nextEviction { 0 };
    std::map<std::string, Window> windows;
};

} // namespace Primrosefork
