#include "leastcostpolicy.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

using Cost = std::chrono::duration<double, std::milli>;

constexpr std::size_t sampledServers = 8; ///< Number of random servers compared for a short request, with half as many of its zone; twice as many for a long one.
constexpr std::size_t maxPreferred = 16; ///< Maximum number of servers compared because they may have cached the prefix.
constexpr double prefillTokensPerMillisecond = 8;
constexpr double recomputeWeight = 3; ///< Cost of computing a prompt token again, as a multiple of its prefill time.
constexpr Cost fullServerCost { 500 }; ///< Cost of each request ahead of the next free slot.
constexpr Cost filledServerCost { 120 }; ///< Cost when all slots are in use; grows with the square of the used share.
constexpr double peerLoadFactor = 0.7; ///< Lower bound of another node's work at a server, as a multiple of this node's own.
constexpr Cost otherZoneCost { 3 }; ///< Cost of a server in another zone.
constexpr Cost longWorkServerCost { 60 }; ///< Cost of sending short work to a server for long work.
constexpr Cost failingServerCost { 5000 }; ///< Cost of a server that failed recently.
constexpr Cost slowServerCost { 400 }; ///< Cost for each unit by which the slowness of a server exceeds 1.
constexpr Cost maxRandomCost { 4 }; ///< Upper bound of the random cost that is added to each server.
constexpr std::int64_t reservedSlots = 1; ///< Slots of a server that long work leaves to short work.
constexpr auto recentLongWorkPeriod = 30s; ///< Period after the last long request in which short work avoids the servers for long work.
constexpr auto recentShortWorkPeriod = 30s; ///< Period after the last short request in which long work is limited to its servers.
constexpr auto maxLongWorkWait = 30'000ms; ///< Wait after which a long request is sent even to a server without capacity for long work.

/** Returns whether one of \a servers is not among \a excluded, which may be null. */
auto hasServerOutside(std::span<const BackendServer* const> servers, const std::set<std::string>* excluded) -> bool
{
    return std::any_of(servers.begin(), servers.end(), [excluded](const BackendServer* server) { return !excluded || !excluded->contains(server->id); });
}

} // namespace

LeastCostPolicy::LeastCostPolicy(std::uint64_t seed)
    : random(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32)))
{
}

auto LeastCostPolicy::setNodeCount(std::size_t count) -> void
{
    this->nodeCount = std::max<std::size_t>(1, count);
}

auto LeastCostPolicy::enginePriority(const RoutingRequest& request) const -> std::int64_t
{
    return 2 * request.priority + (request.workClass == WorkClass::Short ? 1 : 0);
}

auto LeastCostPolicy::choose(const RoutingRequest& request, std::span<const BackendServer* const> candidates, TimePoint now) -> const BackendServer*
{
    return this->choose(request, CandidateList({ candidates.begin(), candidates.end() }), now);
}

auto LeastCostPolicy::choose(const RoutingRequest& request, const CandidateList& candidates, TimePoint now) -> const BackendServer*
{
    if (candidates.servers().empty())
        return nullptr;
    if (request.workClass == WorkClass::Long)
        return this->chooseForLong(request, candidates, now);

    const auto kind = candidates.servers().front()->kind;
    this->lastShortWork[kind] = now;
    std::vector<Option> options;
    options.reserve(maxPreferred + 2 * sampledServers);
    const auto filter = this->hasRecentLongWork(kind, now) ? RingFilter::ShortWorkOnly : RingFilter::All;
    for (const auto& preferred : this->prefixes.preferred(request.prefixBlocks, request.promptTokens, candidates, filter, maxPreferred))
        options.push_back({ preferred.server, preferred.cachedTokens });
    this->addSample(candidates.inZone(request.zone), sampledServers / 2, options);
    this->addSample(candidates.servers(), sampledServers, options);
    return this->cheapest(request, candidates, options, now);
}

auto LeastCostPolicy::chooseForLong(const RoutingRequest& request, const CandidateList& candidates, TimePoint now) -> const BackendServer*
{
    const auto kind = candidates.servers().front()->kind;
    this->lastLongWork[kind] = now;
    std::vector<Option> options;
    const auto preferred = candidates.longWorkServers();
    const auto isLimited = this->hasRecentShortWork(kind, now) && hasServerOutside(preferred, request.excluded);
    this->addSample(isLimited ? preferred : candidates.servers(), 2 * sampledServers, options);
    if (!request.isResumed && request.waited < maxLongWorkWait)
        std::erase_if(options, [this](const Option& option) { return !this->hasLongWorkCapacity(*option.server); });
    return this->cheapest(request, candidates, options, now);
}

auto LeastCostPolicy::hasRecentLongWork(BackendKind kind, TimePoint now) const -> bool
{
    const auto last = this->lastLongWork.find(kind);
    return last != this->lastLongWork.end() && (this->work.openLongRequests() > 0 || now - last->second < recentLongWorkPeriod);
}

auto LeastCostPolicy::hasRecentShortWork(BackendKind kind, TimePoint now) const -> bool
{
    const auto last = this->lastShortWork.find(kind);
    return last != this->lastShortWork.end() && now - last->second < recentShortWorkPeriod;
}

auto LeastCostPolicy::hasLongWorkCapacity(const BackendServer& server) const -> bool
{
    const auto longSlots = std::max<std::int64_t>(1, server.slots - reservedSlots);
    const auto load = this->work.loadOf(server);
    const auto nodes = static_cast<std::int64_t>(this->nodeCount);
    const auto ownSlots = std::max<std::int64_t>(1, longSlots / nodes);
    // While a prompt of this node is being computed, no long one is added, so that short work can run between long prompts.
    if (load.ownLongRequests >= ownSlots || load.ownPrefillTokens > 0)
        return false;
    return load.ownLongRequests == 0 || load.requests() < longSlots;
}

auto LeastCostPolicy::addSample(std::span<const BackendServer* const> servers, std::size_t count, std::vector<Option>& options) -> void
{
    if (servers.size() <= count) {
        for (const auto* server : servers)
            options.push_back({ server, 0 });
        return;
    }
    std::uniform_int_distribution<std::size_t> index(0, servers.size() - 1);
    for (std::size_t step = 0; step < count; ++step)
        options.push_back({ servers[index(this->random)], 0 });
}

auto LeastCostPolicy::cheapest(const RoutingRequest& request, const CandidateList& candidates, std::span<const Option> options, TimePoint now)
    -> const BackendServer*
{
    const BackendServer* best = nullptr;
    Cost least { 0 };
    for (const auto& option : options) {
        if (request.excluded && request.excluded->contains(option.server->id))
            continue;
        if (this->slowdowns.isProbeDue(*option.server, now)) {
            this->slowdowns.probeSent(*option.server, now);
            return option.server;
        }
        const auto cost = this->costOf(request, candidates, option, now);
        if (!best || cost < least) {
            best = option.server;
            least = cost;
        }
    }
    return best;
}

auto LeastCostPolicy::costOf(const RoutingRequest& request, const CandidateList& candidates, const Option& option, TimePoint now) -> Cost
{
    const auto& server = *option.server;
    const auto isShort = request.workClass == WorkClass::Short;
    const auto uncached = static_cast<double>(std::max<std::int64_t>(0, request.promptTokens - option.cachedTokens));
    auto cost = this->queueCost(server) + this->randomCost();
    cost += Cost(recomputeWeight * uncached / prefillTokensPerMillisecond);
    if (server.zone != request.zone)
        cost += otherZoneCost;
    if (isShort && this->hasRecentLongWork(server.kind, now) && candidates.isLongWorkServer(server))
        cost += longWorkServerCost;
    const auto slowness = this->slowdowns.slowness(server);
    if (slowness > 1)
        cost = cost * slowness + slowServerCost * (slowness - 1);
    if (this->slowdowns.isFailing(server, now))
        cost += failingServerCost;
    return cost;
}

auto LeastCostPolicy::queueCost(const BackendServer& server) const -> Cost
{
    const auto load = this->work.loadOf(server);
    const auto slots = std::max<std::int64_t>(1, server.slots);
    const auto peersFactor = peerLoadFactor * static_cast<double>(this->nodeCount - 1);
    const auto others = std::max(static_cast<double>(load.otherRequests), peersFactor * static_cast<double>(load.ownRequests));
    const auto filled = (static_cast<double>(load.ownRequests) + others) / static_cast<double>(slots);
    const auto ownPrefill = static_cast<double>(load.ownPrefillTokens);
    const auto otherPrefill = std::max(static_cast<double>(load.otherPrefillTokens), peersFactor * ownPrefill);
    auto cost = Cost((ownPrefill + otherPrefill) / prefillTokensPerMillisecond);
    cost += filledServerCost * (filled * filled);
    if (filled >= 1)
        cost += fullServerCost * ((filled - 1) * static_cast<double>(slots) + 1);
    return cost;
}

auto LeastCostPolicy::randomCost() -> Cost
{
    return maxRandomCost * std::uniform_real_distribution<double>(0, 1)(this->random);
}

auto LeastCostPolicy::loadReported(const LoadReports& reports, TimePoint now) -> void
{
    this->work.reported(reports, now);
}

auto LeastCostPolicy::requestSent(const RoutingRequest& request, const BackendServer& server, TimePoint now) -> void
{
    this->work.sent(request, server, now);
}

auto LeastCostPolicy::firstPieceReceived(const RoutingRequest& request, const BackendServer& /*server*/, TimePoint now) -> void
{
    this->work.firstPieceReceived(request.id, now);
}

auto LeastCostPolicy::pieceReceived(const RoutingRequest& request, const BackendServer& server, std::int64_t tokens, TimePoint now) -> void
{
    const auto gap = this->work.pieceReceived(request.id, tokens, now);
    if (gap > 0us && tokens > 0)
        this->slowdowns.observe(server, gap / tokens, now);
}

auto LeastCostPolicy::requestEnded(const RoutingRequest& request, const BackendServer& server, AttemptEnd end, TimePoint now) -> void
{
    const auto duration = this->work.ended(request.id, now);
    if (end == AttemptEnd::Cancelled)
        return;
    if (end != AttemptEnd::Finished)
        return this->slowdowns.failed(server, now);
    this->slowdowns.succeeded(server);
    if (server.kind == BackendKind::Plain && duration > 0us)
        this->slowdowns.observe(server, duration, now);
}

} // namespace Primrosefork
