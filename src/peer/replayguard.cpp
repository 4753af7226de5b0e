#include "replayguard.h"

#include <limits>

namespace Primrosefork {

namespace {

constexpr std::uint32_t windowBits = std::numeric_limits<std::uint64_t>::digits;

} // namespace

ReplayGuard::ReplayGuard(std::chrono::milliseconds tolerance)
    : tolerance(tolerance)
{
}

auto ReplayGuard::admit(const std::string& sender, const DatagramStamp& stamp, WallTime now) -> ReplayVerdict
{
    this->evictIdleSenders(now);
    if (stamp.sentAt < now - this->tolerance || stamp.sentAt > now + this->tolerance)
        return ReplayVerdict::Old;
    auto& window = this->windows[sender];
    if (stamp.session < window.session)
        return ReplayVerdict::Replayed;
    if (stamp.session > window.session)
        window = { stamp.session, stamp.sequence, 0, now };
    if (stamp.sequence > window.highest) {
        const auto step = stamp.sequence - window.highest;
        window.seen = step < windowBits ? window.seen << step : 0;
        window.highest = stamp.sequence;
    }
    const auto age = window.highest - stamp.sequence;
    if (age >= windowBits)
        return ReplayVerdict::Replayed;
    const auto bit = std::uint64_t { 1 } << age;
    if ((window.seen & bit) != 0)
        return ReplayVerdict::Replayed;
    window.seen |= bit;
    window.lastAdmitted = now;
    return ReplayVerdict::Fresh;
}

auto ReplayGuard::evictIdleSenders(WallTime now) -> void
{
    if (now < this->nextEviction)
        return;
    // A datagram replayed after the window of its sender was evicted is refused because of its age.
    std::erase_if(this->windows, [this, now](const auto& entry) { return entry.second.lastAdmitted + 3 * this->tolerance < now; });
    this->nextEviction = now + this->tolerance;
}

} // namespace Primrosefork
