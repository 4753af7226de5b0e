#include "storeepochmonitor.h"

#include "eventlog.h"
#include "metrics.h"

#include <nlohmann/json.hpp>

namespace Primrosefork {

StoreEpochMonitor::StoreEpochMonitor(KeyValueStore& store, Metrics& metrics, const EventLog& log)
    : metrics(metrics)
    , log(log)
{
    store.epochChanged.connect([this](StoreEpoch epoch) { this->epochSeen(epoch); });
}

auto StoreEpochMonitor::epochSeen(StoreEpoch epoch) -> void
{
    if (epoch <= this->current)
        return;
    const auto before = this->current;
    this->current = epoch;
    this->seenAt = BootClock::now();
    this->certainSince = this->seenAt + settleTime;
    this->metrics.setGauge("store_epoch", static_cast<double>(epoch));
    this->log.write(Event::StoreRestored, { { "epoch", std::to_string(epoch) }, { "earlier", std::to_string(before) } });
    this->changed.emit(epoch);
}

auto StoreEpochMonitor::settledRecordRead(StoreEpoch settled) -> void
{
    if (settled == this->current)
        this->certainSince = {};
}

auto StoreEpochMonitor::dumpState() const -> nlohmann::json
{
    const auto now = BootClock::now();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->seenAt);
    return { { "epoch", this->current }, { "seen_ms_ago", this->current == 0 ? 0 : age.count() }, { "is_settled", now >= this->certainSince } };
}

} // namespace Primrosefork
