#include "storeclaimmanager.h"

#include "eventlog.h"
#include "metrics.h"
#include "nodesettings.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto probePeriod = 1s; ///< Time between two claim attempts while the store does not answer.

auto nameOf(ClaimVerdict verdict) -> const char*
{
    switch (verdict) {
    case ClaimVerdict::Granted:
        return "granted";
    case ClaimVerdict::Answered:
        return "answered";
    case ClaimVerdict::KeyReused:
        return "key_reused";
    case ClaimVerdict::Unknown:
        return "unknown";
    case ClaimVerdict::GrantedLate:
        return "late";
    case ClaimVerdict::TimedOut:
        return "timed_out";
    case ClaimVerdict::Unavailable:
        return "unavailable";
    }
    return "";
}

} // namespace

StoreClaimManager::StoreClaimManager(EventLoop& loop, KeyValueStore& store, const NodeSettings& settings, Metrics& metrics, const EventLog& log)
    : loop(loop)
    , metrics(metrics)
    , log(log)
    , lease(store, settings.claims.retention)
    , context { loop, store, this->lease, log, settings.id, settings.claims.wait }
{
}

StoreClaimManager::~StoreClaimManager() = default;

auto StoreClaimManager::acquire(const ClaimRequest& request, Handler handler) -> std::shared_ptr<Claim>
{
    const auto now = EventLoop::now();
    const auto id = this->nextId++;
    auto onResult = [this, now, handler = std::move(handler)](const ClaimResult& result) {
        this->verdictReached(result, now);
        handler(result);
    };
    const auto claim = std::make_shared<StoreClaim>(this->context, request, std::move(onResult), [this, id] { this->claimFinished(id); });
    this->claims.emplace(id, claim);
    if (!this->isStoreAvailable && now < this->nextProbe) {
        claim->refuse();
        return claim;
    }
    this->nextProbe = now + probePeriod;
    claim->begin();
    return claim;
}

auto StoreClaimManager::verdictReached(const ClaimResult& result, EventLoop::TimePoint requested) -> void
{
    this->metrics.count(std::string("claims_total{verdict=\"") + nameOf(result.verdict) + "\"}");
    if (result.verdict == ClaimVerdict::Granted)
        this->metrics.observe("claim_seconds", EventLoop::now() - requested);
    if (result.verdict == ClaimVerdict::Unavailable)
        this->markStoreUnavailable();
    else
        this->markStoreAvailable();
}

auto StoreClaimManager::markStoreUnavailable() -> void
{
    if (std::exchange(this->isStoreAvailable, false))
        this->log.write(Event::ClaimsUnavailable);
}

auto StoreClaimManager::markStoreAvailable() -> void
{
    if (!std::exchange(this->isStoreAvailable, true))
        this->log.write(Event::ClaimsRecovered);
}

auto StoreClaimManager::claimFinished(std::uint64_t id) -> void
{
    // The removal is deferred because the claim is still on the call stack.
    this->loop.post([this, id] {
        this->claims.erase(id);
        this->claimEnded.emit();
    });
}

auto StoreClaimManager::heldCount() const -> std::size_t
{
    const auto isHeld = [](const auto& entry) { return entry.second->isHeld(); };
    return static_cast<std::size_t>(std::count_if(this->claims.begin(), this->claims.end(), isHeld));
}

auto StoreClaimManager::dumpState() const -> nlohmann::json
{
    return { { "open", this->claims.size() }, { "held", this->heldCount() }, { "store_available", this->isStoreAvailable } };
}

} // namespace Primrosefork
