#include "productpolicy.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

using Cost = std::chrono::duration<double, std::milli>;

constexpr std::size_t sampledServers = 8;
constexpr std::size_t maxPreferred = 16;
constexpr double prefillTokensPerMillisecond = 8;
constexpr double recomputeWeight = 3; ///< Price of a prompt token computed again, in time of its prefill.
constexpr Cost fullServer { 500 }; ///< For each request before the next free slot.
constexpr Cost filledServer { 120 }; ///< For the last slot; earlier ones by the square of their part.
constexpr double peersAlike = 0.7; ///< Of what this node has open, what each other node is thought to have at least.
constexpr Cost otherZone { 3 };
constexpr Cost longPlace { 60 }; ///< For short work on a place of long work.
constexpr Cost failingServer { 5000 };
constexpr Cost slowServer { 400 }; ///< For each time that it is slower than its peers.
constexpr Cost noise { 4 };
constexpr std::int64_t reservedSlots = 1; ///< Of a place for long work, kept for short work.
constexpr auto longWorkMemory = 30s; ///< For so long after the last long request its places stay its own.
constexpr auto shortWorkMemory = 30s; ///< For so long after the last short request long work keeps to its places.
constexpr auto longestWait = 30'000ms; ///< Then long work takes a place even where none is free.

} // namespace

ProductPolicy::ProductPolicy(std::uint64_t seed)
    : random(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32)))
{
}

auto ProductPolicy::setNodeCount(std::size_t count) -> void
{
    this->nodeCount = std::max<std::size_t>(1, count);
}

auto ProductPolicy::enginePriority(const RoutingRequest& request) const -> std::int64_t
{
    return 2 * request.priority + (request.workClass == WorkClass::Short ? 1 : 0);
}

auto ProductPolicy::choose(const RoutingRequest& request, std::span<const BackendServer* const> candidates, TimePoint now) -> const BackendServer*
{
    return this->choose(request, CandidateList({ candidates.begin(), candidates.end() }), now);
}

auto ProductPolicy::choose(const RoutingRequest& request, const CandidateList& candidates, TimePoint now) -> const BackendServer*
{
    if (candidates.servers().empty())
        return nullptr;
    if (request.workClass == WorkClass::Long)
        return this->chooseForLong(request, candidates, now);

    this->lastShortWork = now;
    std::vector<Option> options;
    options.reserve(maxPreferred + 2 * sampledServers);
    const auto places = this->hasLongWork(now) ? RingPlaces::ShortOnly : RingPlaces::All;
    for (const auto& preferred : this->prefixes.preferred(request.prefixBlocks, request.promptTokens, candidates, places, maxPreferred))
        options.push_back({ preferred.server, preferred.cachedTokens });
    this->addSample(candidates.inZone(request.zone), sampledServers / 2, options);
    this->addSample(candidates.servers(), sampledServers, options);
    return this->cheapest(request, candidates, options, now);
}

auto ProductPolicy::chooseForLong(const RoutingRequest& request, const CandidateList& candidates, TimePoint now) -> const BackendServer*
{
    this->lastLongWork = now;
    std::vector<Option> options;
    this->addSample(this->hasShortWork(now) ? candidates.longPlaces() : candidates.servers(), 2 * sampledServers, options);
    if (!request.isResumed && request.waited < longestWait)
        std::erase_if(options, [this](const Option& option) { return !this->hasLongPlace(*option.server); });
    return this->cheapest(request, candidates, options, now);
}

auto ProductPolicy::hasLongWork(TimePoint now) const -> bool
{
    return this->lastLongWork && (this->work.openLongRequests() > 0 || now - *this->lastLongWork < longWorkMemory);
}

auto ProductPolicy::hasShortWork(TimePoint now) const -> bool
{
    return this->lastShortWork && now - *this->lastShortWork < shortWorkMemory;
}

auto ProductPolicy::hasLongPlace(const BackendServer& server) const -> bool
{
    const auto places = std::max<std::int64_t>(1, server.slots - reservedSlots);
    const auto load = this->work.loadOf(server);
    const auto nodes = static_cast<std::int64_t>(this->nodeCount);
    const auto ownPlaces = std::max<std::int64_t>(1, places / nodes);
    // One prompt of long work after the other, so that short work finds gaps between them.
    if (load.ownLongRequests >= ownPlaces || load.ownPrefillTokens > 0)
        return false;
    return load.ownLongRequests == 0 || load.requests() < places;
}

auto ProductPolicy::addSample(std::span<const BackendServer* const> servers, std::size_t count, std::vector<Option>& options) -> void
{
    if (servers.size() <= count) {
        for (const auto* server : servers)
            options.push_back({ server, 0 });
        return;
    }
    std::uniform_int_distribution<std::size_t> place(0, servers.size() - 1);
    for (std::size_t step = 0; step < count; ++step)
        options.push_back({ servers[place(this->random)], 0 });
}

auto ProductPolicy::cheapest(const RoutingRequest& request, const CandidateList& candidates, std::span<const Option> options, TimePoint now)
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

auto ProductPolicy::costOf(const RoutingRequest& request, const CandidateList& candidates, const Option& option, TimePoint now) -> Cost
{
    const auto& server = *option.server;
    const auto isShort = request.workClass == WorkClass::Short;
    const auto missing = static_cast<double>(std::max<std::int64_t>(0, request.promptTokens - option.cachedTokens));
    auto cost = this->queueCost(server) + this->randomCost();
    cost += Cost(recomputeWeight * missing / prefillTokensPerMillisecond);
    if (server.zone != request.zone)
        cost += otherZone;
    if (isShort && this->hasLongWork(now) && candidates.isLongPlace(server))
        cost += longPlace;
    const auto slowness = this->slowdowns.slowness(server);
    if (slowness > 1)
        cost = cost * slowness + slowServer * (slowness - 1);
    if (this->slowdowns.isFailing(server, now))
        cost += failingServer;
    return cost;
}

auto ProductPolicy::queueCost(const BackendServer& server) const -> Cost
{
    const auto load = this->work.loadOf(server);
    const auto slots = std::max<std::int64_t>(1, server.slots);
    const auto alike = peersAlike * static_cast<double>(this->nodeCount - 1);
    const auto others = std::max(static_cast<double>(load.otherRequests), alike * static_cast<double>(load.ownRequests));
    const auto filled = (static_cast<double>(load.ownRequests) + others) / static_cast<double>(slots);
    const auto ownPrefill = static_cast<double>(load.ownPrefillTokens);
    const auto otherPrefill = std::max(static_cast<double>(load.otherPrefillTokens), alike * ownPrefill);
    auto cost = Cost((ownPrefill + otherPrefill) / prefillTokensPerMillisecond);
    cost += filledServer * (filled * filled);
    if (filled >= 1)
        cost += fullServer * ((filled - 1) * static_cast<double>(slots) + 1);
    return cost;
}

auto ProductPolicy::randomCost() -> Cost
{
    return noise * std::uniform_real_distribution<double>(0, 1)(this->random);
}

auto ProductPolicy::loadReported(const LoadReports& reports, TimePoint now) -> void
{
    this->work.reported(reports, now);
}

auto ProductPolicy::requestSent(const RoutingRequest& request, const BackendServer& server, TimePoint now) -> void
{
    this->work.sent(request, server, now);
}

auto ProductPolicy::firstPieceReceived(const RoutingRequest& request, const BackendServer& /*server*/, TimePoint now) -> void
{
    this->work.firstPieceReceived(request.id, now);
}

auto ProductPolicy::pieceReceived(const RoutingRequest& request, const BackendServer& server, std::int64_t tokens, TimePoint now) -> void
{
    const auto gap = this->work.pieceReceived(request.id, tokens, now);
    if (gap > 0us && tokens > 0)
        this->slowdowns.observe(server, gap / tokens, now);
}

auto ProductPolicy::requestEnded(const RoutingRequest& request, const BackendServer& server, AttemptEnd end, TimePoint now) -> void
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
