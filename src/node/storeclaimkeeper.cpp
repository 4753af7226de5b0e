#include "storeclaimkeeper.h"

#include "eventlog.h"
#include "metrics.h"
#include "nodesettings.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto trialPeriod = 1s; ///< Between two claims that are tried while the store does not answer.

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
    case ClaimVerdict::Late:
        return "late";
    case ClaimVerdict::TimedOut:
        return "timed_out";
    case ClaimVerdict::Unavailable:
        return "unavailable";
    }
    return "";
}

} // namespace

StoreClaimKeeper::StoreClaimKeeper(EventLoop& loop, KeyValueStore& store, const NodeSettings& settings, Metrics& metrics, const EventLog& log)
    : loop(loop)
    , metrics(metrics)
    , log(log)
    , lease(store, settings.claims.retention)
    , context { loop, store, this->lease, log, settings.id, settings.claims.wait }
{
}

StoreClaimKeeper::~StoreClaimKeeper() = default;

auto StoreClaimKeeper::take(const ClaimRequest& request, Handler handler) -> std::shared_ptr<Claim>
{
    const auto now = EventLoop::now();
    const auto id = this->nextId++;
    auto decided = [this, now, handler = std::move(handler)](const ClaimAnswer& answer) {
        this->decided(answer, now);
        handler(answer);
    };
    const auto claim = std::make_shared<StoreClaim>(this->context, request, std::move(decided), [this, id] { this->ended(id); });
    this->claims.emplace(id, claim);
    if (!this->isStoreAvailable && now < this->nextTrial) {
        claim->refuse();
        return claim;
    }
    this->nextTrial = now + trialPeriod;
    claim->begin();
    return claim;
}

auto StoreClaimKeeper::decided(const ClaimAnswer& answer, EventLoop::TimePoint begun) -> void
{
    this->metrics.count(std::string("claims_total{verdict=\"") + nameOf(answer.verdict) + "\"}");
    if (answer.verdict == ClaimVerdict::Granted)
        this->metrics.observe("claim_seconds", EventLoop::now() - begun);
    if (answer.verdict == ClaimVerdict::Unavailable)
        this->storeFailed();
    else
        this->storeAnswered();
}

auto StoreClaimKeeper::storeFailed() -> void
{
    if (std::exchange(this->isStoreAvailable, false))
        this->log.write(Event::ClaimsUnavailable);
}

auto StoreClaimKeeper::storeAnswered() -> void
{
    if (!std::exchange(this->isStoreAvailable, true))
        this->log.write(Event::ClaimsRecovered);
}

auto StoreClaimKeeper::ended(std::uint64_t id) -> void
{
    // The claim is still on the call stack.
    this->loop.post([this, id] {
        this->claims.erase(id);
        this->claimEnded.emit();
    });
}

auto StoreClaimKeeper::heldCount() const -> std::size_t
{
    const auto isHeld = [](const auto& entry) { return entry.second->isHeld(); };
    return static_cast<std::size_t>(std::count_if(this->claims.begin(), this->claims.end(), isHeld));
}

auto StoreClaimKeeper::dumpState() const -> nlohmann::json
{
    return { { "open", this->claims.size() }, { "held", this->heldCount() }, { "store_available", this->isStoreAvailable } };
}

} // namespace Primrosefork
