#include "connectionchoice.h"

#include <algorithm>
#include <tuple>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::milliseconds minAge = 1s; ///< Time in which an ordinary caller sends its request on a new connection.

enum class Rank : std::uint8_t {
    Unused,
    Slow,
    Overdue,
    Idle,
    Receiving,
    Ending,
    Kept,
};

auto rankOf(const ConnectionUse& use) -> Rank
{
    switch (use.phase) {
    case ConnectionUse::Phase::Idle:
        return use.hasServed || use.age < minAge ? Rank::Idle : Rank::Unused;
    case ConnectionUse::Phase::Receiving:
        return use.age < minAge ? Rank::Receiving : Rank::Slow;
    case ConnectionUse::Phase::Ending:
        return use.age < minAge ? Rank::Ending : Rank::Overdue;
    case ConnectionUse::Phase::Responding:
        break;
    }
    return Rank::Kept;
}

/** Returns a key by which the connection that is closed first is the least. */
auto orderOf(const ConnectionUse& use) -> std::tuple<Rank, double, std::chrono::milliseconds>
{
    const auto rank = rankOf(use);
    const auto bytesPerMillisecond = rank == Rank::Slow ? static_cast<double>(use.receivedBytes) / static_cast<double>(use.age.count()) : 0;
    return { rank, bytesPerMillisecond, -use.age };
}

} // namespace

auto connectionsToClose(const std::vector<ConnectionUse>& connections, std::size_t count) -> std::vector<std::size_t>
{
    std::vector<std::size_t> candidates;
    for (std::size_t index = 0; index < connections.size(); ++index) {
        if (rankOf(connections[index]) != Rank::Kept)
            candidates.push_back(index);
    }
    const auto chosen = std::min(count, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(chosen), candidates.end(),
        [&connections](std::size_t first, std::size_t second) { return orderOf(connections[first]) < orderOf(connections[second]); });
    candidates.resize(chosen);
    return candidates;
}

} // namespace Primrosefork
