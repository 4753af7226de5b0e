#include "storeepochmonitor.h"

#include "eventlog.h"
#include "metrics.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

namespace Primrosefork {

StoreEpochMonitor::StoreEpochMonitor(KeyValueStore& store, Metrics& metrics, const EventLog& log)
    : store(store)
    , metrics(metrics)
    , log(log)
    , isAlive(std::make_shared<bool>(true))
{
    store.epochChanged.connect([this](StoreEpoch epoch) { this->epochSeen(epoch); });
}

StoreEpochMonitor::~StoreEpochMonitor()
{
    *this->isAlive = false;
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

auto StoreEpochMonitor::recordRead(const StoreEntry& entry) -> void
{
    this->recordRevision = entry.revision;
    this->recordedEpoch = std::strtoull(entry.value.c_str(), nullptr, 10);
    if (this->recordedEpoch == this->current)
        this->certainSince = {};
}

auto StoreEpochMonitor::recordWhenSettled() -> void
{
    const auto epoch = this->current;
    if (epoch == this->recordedEpoch || BootClock::now() < this->certainSince || std::exchange(this->isRecording, true))
        return;
    this->store.compareAndSwap({ settledEpochKey, this->recordRevision, std::to_string(epoch), 0 }, [this, epoch, alive = this->isAlive](std::error_code error, const StoreSwapResult& result) {
        if (!*alive)
            return;
        this->isRecording = false;
        if (error)
            return;
        this->recordRevision = result.current.revision;
        this->recordedEpoch = result.isSwapped ? epoch : std::strtoull(result.current.value.c_str(), nullptr, 10);
    });
}

auto StoreEpochMonitor::dumpState() const -> nlohmann::json
{
    const auto now = BootClock::now();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->seenAt);
    return { { "epoch", this->current }, { "seen_ms_ago", this->current == 0 ? 0 : age.count() }, { "is_settled", now >= this->certainSince } };
}

} // namespace Primrosefork
