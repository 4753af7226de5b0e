#include "cacheawarepolicy.h"

#include "hash.h"

#include <algorithm>
#include <iterator>
#include <limits>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr double tokensPerRunning = 120; ///< What one more running request slows the others, in prompt tokens.
constexpr double tokensPerWaiting = 2'000; ///< Unread tokens of a waiting request of another node; near a mean prompt.
constexpr double tokensPerPlainRequest = 1'000; ///< One slot of a plain service for the time of one call.
constexpr double otherZoneTokens = 60; ///< The way to another zone and back, and its price.
constexpr double foreignTokens = 8'000; ///< For a prompt among long streams or the reverse: some prompts of a mean size.
constexpr double randomTokens = 40; ///< Keeps nodes with the same view from all choosing alike.
constexpr auto keepTime = 20s; ///< After which a part that was not read again is taken for evicted.
constexpr auto observedTime = 2s; ///< After which an observed load counts for nothing.
constexpr int errorsInRow = 2; ///< After which a server is avoided for a while; a service that fails one request in seven does so by chance in one pair of fifty.
constexpr std::size_t maxKeptParts = 4'096;
constexpr std::int64_t leastMeasuredTokens = 1'000; ///< Of a prompt, for its reading to outweigh the rest of the time to the first piece.
constexpr std::size_t measuredPrompts = 64;
constexpr std::size_t leastMeasuredPrompts = 8;
constexpr double undisturbedPart = 0.9; ///< Quantile of the rates that is taken for that of an engine with nothing else to do.

/** Returns a hash for each part sequence of the prompt, from its start to the end of the part. */
auto partSequences(std::span<const PromptPart> parts) -> std::vector<std::uint64_t>
{
    constexpr std::uint64_t multiplier = 0x9E3779B97F4A7C15;
    std::vector<std::uint64_t> sequences;
    std::uint64_t hash = 0;
    for (const auto& part : parts) {
        hash = (hash ^ part.id) * multiplier;
        hash ^= hash >> 29;
        sequences.push_back(hash);
    }
    return sequences;
}

/** Returns the sequence by which requests that share a prompt find each other: all parts but the request's own. */
auto sharedSequence(std::span<const std::uint64_t> sequences) -> std::uint64_t
{
    if (sequences.empty())
        return 0;
    return sequences.size() == 1 ? sequences.front() : sequences[sequences.size() - 2];
}

auto homeOf(std::uint64_t sequence, std::span<const BackendServer* const> candidates) -> const BackendServer*
{
    const BackendServer* home = nullptr;
    std::uint64_t highest = 0;
    for (const auto* server : candidates) {
        const auto weight = hash64(server->id + "/" + std::to_string(sequence));
        if (!home || weight > highest) {
            home = server;
            highest = weight;
        }
    }
    return home;
}

} // namespace

CacheAwarePolicy::CacheAwarePolicy(std::uint64_t seed)
    : random(static_cast<std::minstd_rand::result_type>(seed))
{
}

auto CacheAwarePolicy::choose(const RoutingRequest& request, std::span<const BackendServer* const> candidates, TimePoint now) -> const BackendServer*
{
    const auto sequences = partSequences(request.promptParts);
    std::vector<const BackendServer*> native;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(native), [this, &request](const auto* server) { return !this->isForeign(request, *server); });
    const auto* home = sequences.empty() ? nullptr : homeOf(sharedSequence(sequences), native);
    const BackendServer* best = nullptr;
    auto bestCost = std::numeric_limits<double>::infinity();
    for (const auto* server : candidates) {
        if (this->slowdowns.isFailing(*server, now))
            continue;
        const auto cost = this->costOf(request, *server, sequences, server == home, now);
        if (cost < bestCost) {
            best = server;
            bestCost = cost;
        }
    }
    if (best || candidates.empty())
        return best;
    // All failed lately: that says nothing of one of them.
    return candidates[this->random() % candidates.size()];
}

auto CacheAwarePolicy::isForeign(const RoutingRequest& request, const BackendServer& server) const -> bool
{
    return server.kind == BackendKind::Engine && !this->streamEngines.empty() && isLongStream(request) != this->streamEngines.contains(server.id);
}

auto CacheAwarePolicy::costOf(
    const RoutingRequest& request, const BackendServer& server, std::span<const std::uint64_t> sequences, bool isHome, TimePoint now) -> double
{
    static const ServerState idle;
    const auto found = this->servers.find(server.id);
    const auto& state = found == this->servers.end() ? idle : found->second;
    const auto age = std::chrono::duration<double>(now - state.observed) / std::chrono::duration<double>(observedTime);
    const auto freshness = state.observed == TimePoint {} ? 0.0 : std::max(0.0, 1 - age);
    const auto others = freshness * static_cast<double>(state.others);
    const auto waiting = freshness * static_cast<double>(state.othersWaiting);
    const auto slowness = this->slowdowns.slowness(server) * (1 + freshness * (state.machineSlowness - 1));

    auto cost = randomTokens * static_cast<double>(this->random()) / static_cast<double>(std::minstd_rand::max());
    if (server.zone != request.zone)
        cost += otherZoneTokens;
    if (this->isForeign(request, server))
        cost += foreignTokens;
    if (server.kind == BackendKind::Plain) {
        const auto slots = static_cast<double>(std::max<std::int64_t>(1, server.slots));
        const auto requests = static_cast<double>(state.running) + others + waiting;
        return cost + slowness * tokensPerPlainRequest * (1 + requests / slots + std::max(0.0, requests - slots) / slots);
    }
    cost += slowness * static_cast<double>(state.unreadTokens + this->unreadTokens(request, state, sequences, isHome, now));
    return cost + slowness * (tokensPerRunning * (static_cast<double>(state.running) + others) + tokensPerWaiting * waiting);
}

auto CacheAwarePolicy::unreadTokens(
    const RoutingRequest& request, const ServerState& state, std::span<const std::uint64_t> sequences, bool isHome, TimePoint now) const -> std::int64_t
{
    auto unread = request.promptTokens;
    for (std::size_t index = 0; index < sequences.size(); ++index) {
        const auto kept = state.keptParts.find(sequences[index]);
        const auto isKept = kept != state.keptParts.end() && now - kept->second < keepTime;
        const auto isExpected = isHome && index + 1 < sequences.size();
        if (!isKept && !isExpected)
            break;
        unread -= request.promptParts[index].tokens;
    }
    return std::max<std::int64_t>(0, unread);
}

auto CacheAwarePolicy::keep(ServerState& state, std::span<const std::uint64_t> sequences, TimePoint now) -> void
{
    for (const auto sequence : sequences)
        state.keptParts[sequence] = now;
    if (state.keptParts.size() > maxKeptParts)
        std::erase_if(state.keptParts, [now](const auto& entry) { return now - entry.second >= keepTime; });
}

auto CacheAwarePolicy::loadObserved(const BackendServer& server, const ObservedLoad& load, TimePoint now) -> void
{
    auto& state = this->servers[server.id];
    constexpr double wholePercent = 100;
    // The answer that carries the load is one of this node's own requests.
    state.others = std::max<std::int64_t>(0, load.running + load.waiting - state.running);
    state.othersWaiting = std::min(state.others, load.waiting);
    state.machineSlowness = std::max(1.0, static_cast<double>(load.slownessPercent) / wholePercent);
    state.observed = now;
}

auto CacheAwarePolicy::requestSent(const RoutingRequest& request, const BackendServer& server, TimePoint now) -> void
{
    auto& state = this->servers[server.id];
    const auto sequences = partSequences(request.promptParts);
    const auto unread = this->unreadTokens(request, state, sequences, false, now);
    const auto own = request.promptParts.empty() ? request.promptTokens : request.promptParts.back().tokens;
    this->open[request.id] = { server.id, unread, own, now, now };
    ++state.running;
    state.unreadTokens += unread;
    this->keep(state, sequences, now);
}

auto CacheAwarePolicy::firstPieceReceived(const RoutingRequest& request, const BackendServer& server, TimePoint now) -> void
{
    const auto found = this->open.find(request.id);
    if (found == this->open.end())
        return;
    this->servers[server.id].unreadTokens -= found->second.unreadTokens;
    if (found->second.ownTokens >= leastMeasuredTokens) {
        auto& rates = this->readingRates[server.pool];
        rates.push_back(static_cast<double>(found->second.ownTokens) / std::max(0.001, std::chrono::duration<double>(now - found->second.sent).count()));
        if (rates.size() > measuredPrompts)
            rates.pop_front();
    }
    found->second.unreadTokens = 0;
    found->second.hasPiece = true;
    found->second.lastPiece = now;
}

auto CacheAwarePolicy::pieceReceived(const RoutingRequest& request, const BackendServer& server, std::int64_t /*tokens*/, TimePoint now) -> void
{
    const auto found = this->open.find(request.id);
    if (found == this->open.end())
        return;
    this->slowdowns.observe(server, std::chrono::duration_cast<std::chrono::microseconds>(now - found->second.lastPiece), now);
    found->second.lastPiece = now;
}

auto CacheAwarePolicy::requestEnded(const RoutingRequest& request, const BackendServer& server, AttemptEnd end, TimePoint now) -> void
{
    const auto found = this->open.find(request.id);
    if (found == this->open.end())
        return;
    auto& state = this->servers[server.id];
    --state.running;
    state.unreadTokens -= found->second.unreadTokens;
    state.errors = end == AttemptEnd::Erred ? state.errors + 1 : 0;
    if (end == AttemptEnd::Erred && state.errors < errorsInRow) {
        // One error says little: some requests fail on any server.
        this->open.erase(found);
        return;
    }
    if (end == AttemptEnd::Finished) {
        this->slowdowns.succeeded(server);
        if (server.kind == BackendKind::Plain)
            this->slowdowns.observe(server, std::chrono::duration_cast<std::chrono::microseconds>(now - found->second.sent), now);
    } else if (end != AttemptEnd::Cancelled) {
        this->slowdowns.failed(server, now);
    }
    this->open.erase(found);
}

auto CacheAwarePolicy::readingRate(const std::string& pool) const -> double
{
    const auto found = this->readingRates.find(pool);
    if (found == this->readingRates.end() || found->second.size() < leastMeasuredPrompts)
        return 0;
    std::vector<double> sorted(found->second.begin(), found->second.end());
    const auto place = sorted.begin() + static_cast<std::ptrdiff_t>(undisturbedPart * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), place, sorted.end());
    return *place;
}

auto CacheAwarePolicy::expectedReading(const RoutingRequest& request, const BackendServer& server, TimePoint now) const -> std::int64_t
{
    static const ServerState unknown;
    const auto found = this->servers.find(server.id);
    return this->unreadTokens(request, found == this->servers.end() ? unknown : found->second, partSequences(request.promptParts), true, now);
}

auto CacheAwarePolicy::forget(const std::string& id) -> void
{
    const auto found = this->servers.find(id);
    if (found != this->servers.end())
        found->second.keptParts.clear();
}

} // namespace Primrosefork
