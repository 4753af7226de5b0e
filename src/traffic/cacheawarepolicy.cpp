#include "cacheawarepolicy.h"

#include "hash.h"
#include "serverindex.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr double runningRequestTokens = 120; ///< Cost of each request that runs on an engine and slows the others there, in prompt tokens.
constexpr double waitingRequestTokens = 2'000; ///< Cost of a waiting request of another node, whose prompt length is not known, in prompt tokens; close to a mean prompt.
constexpr double plainRequestTokens = 1'000; ///< Cost of one slot of a plain service for the time of one call, in prompt tokens.
constexpr double otherZoneTokens = 60; ///< Smallest cost of a server in another zone, in prompt tokens; a request that overflows to that zone is not charged.
constexpr double mismatchTokens = 8'000; ///< Cost of a prompt on an engine for long streams or the reverse, in prompt tokens; equals several mean prompts.
constexpr double jitterTokens = 40; ///< Upper limit of the random cost that keeps nodes with the same view from all choosing the same server, in prompt tokens.
constexpr auto cacheRetention = 20s; ///< Time since its last use after which a prefix is assumed to be evicted from a server's cache.
constexpr std::chrono::milliseconds otherReportAge = 250ms; ///< Mean age of the other nodes' reports when this node reports: half of the period.
constexpr auto loadLifetime = 2s; ///< Time over which the weight of an observed load falls to zero.
constexpr int errorsBeforeAvoidance = 2; ///< Consecutive errors after which a server is avoided for a while; on a service that fails one request in seven, two in a row occur by chance in one pair of fifty.
constexpr std::size_t maxParts = 64; ///< Parts of one prompt that are considered, the first ones; callers may name thousands.
constexpr std::size_t purgeThreshold = 4'096; ///< Cached prefixes of one server above which expired ones are removed.
constexpr std::size_t maxCachedPrefixes = 16'384; ///< Most cached prefixes of one server; all are forgotten when over half as many have not expired.
constexpr std::int64_t minMeasuredTokens = 1'000; ///< Length of a prompt's last part, in tokens, from which its prefill outweighs the rest of the time to the first piece.
constexpr auto homeRateTime = 5s; ///< Time constant of the rate of requests with one home.
constexpr auto reportDelay = 600ms; ///< Time for which requests at a server are missing in the reports of all nodes.
constexpr std::size_t maxRateSamples = 64; ///< Latest prefill rates that are kept for each pool.
constexpr std::size_t minRateSamples = 8; ///< Measured prefill rates needed before the rate of a pool is known.
constexpr double idleRateQuantile = 0.9; ///< Quantile of the measured rates that is taken as the rate of an otherwise idle engine.

/** Returns one hash for each of the first parts of a prompt, computed over the prefix from the start of the prompt to the end of that part. */
auto prefixHashes(std::span<const PromptPart> parts) -> std::vector<std::uint64_t>
{
    constexpr std::uint64_t multiplier = 0x9E3779B97F4A7C15;
    std::vector<std::uint64_t> prefixes;
    std::uint64_t hash = 0;
    for (const auto& part : parts.first(std::min(parts.size(), maxParts))) {
        hash = (hash ^ part.id) * multiplier;
        hash ^= hash >> 29;
        prefixes.push_back(hash);
    }
    return prefixes;
}

/**
 * Returns the hash of the prefix that selects the home server of a prompt: all parts but the
 * last, which is the request's own, or the only part. Returns 0 without parts.
 */
auto sharedPrefix(std::span<const std::uint64_t> prefixes) -> std::uint64_t
{
    if (prefixes.empty())
        return 0;
    return prefixes.size() == 1 ? prefixes.front() : prefixes[prefixes.size() - 2];
}

/** Returns the candidate with the highest rendezvous weight for \a prefix, or null without candidates. */
auto homeOf(std::uint64_t prefix, std::span<const BackendServer* const> candidates) -> const BackendServer*
{
    const BackendServer* home = nullptr;
    std::uint64_t highest = 0;
    for (const auto* server : candidates) {
        const auto weight = homeWeight(hash64(server->id), prefix);
        if (!home || weight > highest) {
            home = server;
            highest = weight;
        }
    }
    return home;
}

/** Returns the rate of an otherwise idle engine by the measured \a rates. */
auto idleRateOf(const std::deque<double>& rates) -> double
{
    std::vector<double> sorted(rates.begin(), rates.end());
    const auto place = sorted.begin() + static_cast<std::ptrdiff_t>(idleRateQuantile * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), place, sorted.end());
    return *place;
}

} // namespace

auto homePrefixOf(const RoutingRequest& request) -> std::uint64_t
{
    return sharedPrefix(prefixHashes(request.promptParts));
}

CacheAwarePolicy::CacheAwarePolicy(std::uint64_t seed)
    : random(static_cast<std::minstd_rand::result_type>(seed))
{
}

auto CacheAwarePolicy::choose(const RoutingRequest& request, std::span<const BackendServer* const> candidates, TimePoint now) -> const BackendServer*
{
    const auto prefixes = prefixHashes(request.promptParts);
    std::vector<const BackendServer*> matching;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(matching), [this, &request](const auto* server) { return !this->isMismatched(request, *server); });
    // Prompts that overflow to another zone have their home there, so that its servers cache them.
    if (!request.overflowZone.empty() && std::any_of(matching.begin(), matching.end(), [&request](const auto* server) { return server->zone == request.overflowZone; }))
        std::erase_if(matching, [&request](const auto* server) { return server->zone != request.overflowZone; });
    const auto* home = prefixes.empty() ? nullptr : homeOf(sharedPrefix(prefixes), matching);
    const BackendServer* best = nullptr;
    auto bestCost = std::numeric_limits<double>::infinity();
    for (const auto* server : candidates) {
        if (this->slowdowns.isFailing(*server, now))
            continue;
        const auto cost = this->costOf(request, *server, prefixes, server == home, now);
        if (cost < bestCost) {
            best = server;
            bestCost = cost;
        }
    }
    if (home && best && this->otherLoads)
        this->recordHome(*home, now);
    if (best || candidates.empty())
        return best;
    // All candidates failed recently, so that the failures do not tell them apart.
    return candidates[this->random() % candidates.size()];
}

auto CacheAwarePolicy::isMismatched(const RoutingRequest& request, const BackendServer& server) const -> bool
{
    return server.kind == BackendKind::Engine && !this->streamEngines.empty() && isLongStream(request) != this->streamEngines.contains(server.id);
}

auto CacheAwarePolicy::freshnessOf(const ServerState& state, TimePoint now) -> double
{
    const auto age = std::chrono::duration<double>(now - state.observedAt) / std::chrono::duration<double>(loadLifetime);
    return state.observedAt == TimePoint {} ? 0.0 : std::max(0.0, 1 - age);
}

auto CacheAwarePolicy::costOf(
    const RoutingRequest& request, const BackendServer& server, std::span<const std::uint64_t> prefixes, bool isHome, TimePoint now) -> double
{
    static const ServerState idle;
    const auto found = this->servers.find(server.id);
    const auto& state = found == this->servers.end() ? idle : found->second;
    const auto freshness = freshnessOf(state, now);
    // All nodes send the same prompts home, and each learns of the others' requests only with the next answers. This request is as
    // likely to be the first as the last of these, so that the nodes together fill up the room that is left, but not more.
    const auto reported = this->otherLoads ? this->otherLoads->othersAt(server, now) : std::nullopt;
    const auto ownArrivals = isHome && reported ? this->uniform() * this->homeRate(state, now) * std::chrono::duration<double>(reportDelay).count() : 0;
    const auto others = this->estimateOthers(server, state, freshness, reported, ownArrivals, now);
    const auto slowness = this->slowdowns.slowness(server) * (1 + freshness * (state.machineSlowness - 1));

    auto cost = jitterTokens * this->uniform();
    const auto isOverflowTarget = !request.overflowZone.empty() && server.zone == request.overflowZone;
    if (server.zone != request.zone && !isOverflowTarget)
        cost += std::max(otherZoneTokens, request.otherZoneTokens);
    if (this->isMismatched(request, server))
        cost += mismatchTokens;
    if (server.kind == BackendKind::Plain) {
        const auto slots = static_cast<double>(std::max<std::int64_t>(1, server.slots));
        const auto requests = static_cast<double>(state.running) + others.requests + others.waiting;
        return cost + slowness * plainRequestTokens * (1 + requests / slots + std::max(0.0, requests - slots) / slots);
    }
    cost += slowness * static_cast<double>(state.pendingPrefillTokens + this->uncachedTokens(request, state, prefixes, isHome, now));
    return cost + slowness * (runningRequestTokens * (static_cast<double>(state.running) + others.requests) + waitingRequestTokens * others.waiting + others.pendingPrefillTokens);
}

auto CacheAwarePolicy::estimateOthers(const BackendServer& server, const ServerState& state, double freshness, const std::optional<OtherLoad>& reported, double ownArrivals, TimePoint now) const -> OthersEstimate
{
    const OthersEstimate observed { freshness * static_cast<double>(state.otherRequests), freshness * static_cast<double>(state.otherWaiting), 0 };
    if (!reported)
        return observed;
    // Since the reports, an engine has worked off what it can; only what it cannot keep up with is left.
    const auto age = std::chrono::duration<double>(now - reported->reportedAt + otherReportAge).count();
    const auto pendingTokens = std::max(0.0, reported->pendingPrefillTokens - age * this->prefillRate(server.pool));
    // Requests beyond the slots of an engine wait until one is free; the cost of a plain server has them already.
    const auto openRequests = reported->openRequests + ownArrivals * reported->othersPerOwn;
    const auto open = static_cast<double>(state.running) + openRequests;
    const auto waiting = server.kind == BackendKind::Engine ? std::max(0.0, open - static_cast<double>(server.slots)) : 0;
    // The newer of the two counts, and as it gets old the other one fills the rest of its weight.
    const auto isOlder = reported->reportedAt < state.observedAt;
    const auto observedWeight = isOlder ? 1 : 1 - reported->weight;
    const auto reportedWeight = isOlder ? (1 - freshness) * reported->weight : reported->weight;
    return { observedWeight * observed.requests + reportedWeight * openRequests, observedWeight * observed.waiting + reportedWeight * waiting,
        reportedWeight * pendingTokens };
}

auto CacheAwarePolicy::uniform() -> double
{
    return static_cast<double>(this->random()) / static_cast<double>(std::minstd_rand::max());
}

auto CacheAwarePolicy::homeRate(const ServerState& state, TimePoint now) const -> double
{
    using Seconds = std::chrono::duration<double>;
    return state.homeRequests * std::exp(-(Seconds(now - state.lastHomeRequest) / Seconds(homeRateTime))) / Seconds(homeRateTime).count();
}

auto CacheAwarePolicy::recordHome(const BackendServer& server, TimePoint now) -> void
{
    using Seconds = std::chrono::duration<double>;
    auto& state = this->servers[server.id];
    state.homeRequests = 1 + state.homeRequests * std::exp(-(Seconds(now - state.lastHomeRequest) / Seconds(homeRateTime)));
    state.lastHomeRequest = now;
}

auto CacheAwarePolicy::ownLoads() const -> std::vector<BackendLoad>
{
    std::vector<BackendLoad> loads;
    for (const auto& [id, state] : this->servers) {
        if (state.running > 0)
            loads.push_back({ loadKeyOf(id), state.running, std::max<std::int64_t>(0, state.pendingPrefillTokens) });
    }
    return loads;
}

auto CacheAwarePolicy::uncachedTokens(
    const RoutingRequest& request, const ServerState& state, std::span<const std::uint64_t> prefixes, bool isHome, TimePoint now) const -> std::int64_t
{
    auto uncached = request.promptTokens;
    for (std::size_t index = 0; index < prefixes.size(); ++index) {
        const auto cached = state.cachedPrefixes.find(prefixes[index]);
        const auto isCached = cached != state.cachedPrefixes.end() && now - cached->second < cacheRetention;
        const auto isExpected = isHome && index + 1 < prefixes.size();
        if (!isCached && !isExpected)
            break;
        uncached -= request.promptParts[index].tokens;
    }
    return std::max<std::int64_t>(0, uncached);
}

auto CacheAwarePolicy::cachedPrefixes(const std::string& id) const -> std::size_t
{
    const auto found = this->servers.find(id);
    return found == this->servers.end() ? 0 : found->second.cachedPrefixes.size();
}

auto CacheAwarePolicy::recordCached(ServerState& state, std::span<const std::uint64_t> prefixes, TimePoint now) -> void
{
    for (const auto prefix : prefixes)
        state.cachedPrefixes[prefix] = now;
    if (state.cachedPrefixes.size() <= state.nextPurge)
        return;
    std::erase_if(state.cachedPrefixes, [now](const auto& entry) { return now - entry.second >= cacheRetention; });
    if (state.cachedPrefixes.size() > maxCachedPrefixes / 2)
        state.cachedPrefixes.clear();
    // The next purge waits until the prefixes have doubled, so that its work is spread over the requests that added them.
    state.nextPurge = std::max(purgeThreshold, 2 * state.cachedPrefixes.size());
}

auto CacheAwarePolicy::loadObserved(const BackendServer& server, const ObservedLoad& load, TimePoint now) -> void
{
    auto& state = this->servers[server.id];
    constexpr double wholePercent = 100;
    // The reported load includes this node's own open requests, among them the one whose answer carries the report.
    state.otherRequests = std::max<std::int64_t>(0, load.running + load.waiting - state.running);
    state.otherWaiting = std::min(state.otherRequests, load.waiting);
    state.machineSlowness = std::max(1.0, static_cast<double>(load.slownessPercent) / wholePercent);
    state.observedAt = now;
}

auto CacheAwarePolicy::requestSent(const RoutingRequest& request, const BackendServer& server, TimePoint now) -> void
{
    auto& state = this->servers[server.id];
    state.isRemoved = false;
    const auto prefixes = prefixHashes(request.promptParts);
    const auto uncached = this->uncachedTokens(request, state, prefixes, false, now);
    const auto lastPart = request.promptParts.empty() ? request.promptTokens : request.promptParts.back().tokens;
    this->openRequests[request.id] = { server.id, uncached, lastPart, now, now };
    ++state.running;
    state.pendingPrefillTokens += uncached;
    this->recordCached(state, prefixes, now);
}

auto CacheAwarePolicy::firstPieceReceived(const RoutingRequest& request, const BackendServer& server, TimePoint now) -> void
{
    const auto found = this->openRequests.find(request.id);
    if (found == this->openRequests.end())
        return;
    this->servers[server.id].pendingPrefillTokens -= found->second.pendingPrefillTokens;
    if (found->second.lastPartTokens >= minMeasuredTokens) {
        auto& rates = this->prefillRates[server.pool];
        rates.push_back(static_cast<double>(found->second.lastPartTokens) / std::max(0.001, std::chrono::duration<double>(now - found->second.sent).count()));
        if (rates.size() > maxRateSamples)
            rates.pop_front();
        if (rates.size() >= minRateSamples)
            this->idleRates[server.pool] = idleRateOf(rates);
    }
    found->second.pendingPrefillTokens = 0;
    found->second.hasPiece = true;
    found->second.lastPiece = now;
}

auto CacheAwarePolicy::pieceReceived(const RoutingRequest& request, const BackendServer& server, std::int64_t /*tokens*/, TimePoint now) -> void
{
    const auto found = this->openRequests.find(request.id);
    if (found == this->openRequests.end())
        return;
    this->slowdowns.observe(server, std::chrono::duration_cast<std::chrono::microseconds>(now - found->second.lastPiece), now);
    found->second.lastPiece = now;
}

auto CacheAwarePolicy::requestEnded(const RoutingRequest& request, const BackendServer& server, AttemptEnd end, TimePoint now) -> void
{
    const auto found = this->openRequests.find(request.id);
    if (found == this->openRequests.end())
        return;
    const auto entry = this->servers.find(server.id);
    auto& state = entry->second;
    --state.running;
    state.pendingPrefillTokens -= found->second.pendingPrefillTokens;
    if (state.isRemoved && state.running == 0) {
        this->servers.erase(entry);
        this->openRequests.erase(found);
        return;
    }
    state.consecutiveErrors = end == AttemptEnd::ServerError ? state.consecutiveErrors + 1 : 0;
    if (end == AttemptEnd::ServerError && state.consecutiveErrors < errorsBeforeAvoidance) {
        // A single error is not held against the server, since some requests fail on any server.
        this->openRequests.erase(found);
        return;
    }
    if (end == AttemptEnd::Finished) {
        this->slowdowns.succeeded(server);
        if (server.kind == BackendKind::Plain)
            this->slowdowns.observe(server, std::chrono::duration_cast<std::chrono::microseconds>(now - found->second.sent), now);
    } else if (end != AttemptEnd::Cancelled) {
        this->slowdowns.failed(server, now);
    }
    this->openRequests.erase(found);
}

auto CacheAwarePolicy::prefillRate(const std::string& pool) const -> double
{
    const auto found = this->idleRates.find(pool);
    return found == this->idleRates.end() ? 0 : found->second;
}

auto CacheAwarePolicy::expectedPrefillTokens(const RoutingRequest& request, const BackendServer& server, TimePoint now) const -> std::int64_t
{
    static const ServerState unknown;
    const auto found = this->servers.find(server.id);
    return this->uncachedTokens(request, found == this->servers.end() ? unknown : found->second, prefixHashes(request.promptParts), true, now);
}

auto CacheAwarePolicy::expectedLoad(const BackendServer& server, TimePoint now) const -> ExpectedLoad
{
    static const ServerState unknown;
    const auto found = this->servers.find(server.id);
    const auto& state = found == this->servers.end() ? unknown : found->second;
    const auto freshness = freshnessOf(state, now);
    const auto others = this->estimateOthers(server, state, freshness, this->otherLoads ? this->otherLoads->othersAt(server, now) : std::nullopt, 0, now);
    return { static_cast<double>(state.running) + others.requests, static_cast<double>(state.pendingPrefillTokens) + others.pendingPrefillTokens, freshness > 0 };
}

auto CacheAwarePolicy::clearCache(const std::string& id) -> void
{
    const auto found = this->servers.find(id);
    if (found != this->servers.end())
        found->second.cachedPrefixes.clear();
}

auto CacheAwarePolicy::serverRemoved(const std::string& id) -> void
{
    const auto found = this->servers.find(id);
    if (found == this->servers.end())
        return;
    found->second.cachedPrefixes.clear();
    found->second.isRemoved = true;
    if (found->second.running == 0)
        this->servers.erase(found);
}

} // namespace Primrosefork
