#include "usagecontroller.h"

#include "errors.h"
#include "eventlog.h"
#include "metrics.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto usageKey = "primrosefork/usage";
constexpr std::chrono::milliseconds tickPeriod = 500ms;
constexpr std::chrono::milliseconds reportDelay = 1'700ms; ///< Time after the end of a window in which each node sends two reports and they arrive.
constexpr std::chrono::milliseconds maxClockDifference = 250ms; ///< Largest difference of two nodes' clocks that is expected.
constexpr UsageWindow dueWindows = 6; ///< Number of windows that are looked at; older ones are no longer due.
constexpr std::size_t keptReported = 12;

} // namespace

UsageController::UsageController(EventLoop& loop, KeyValueStore& store, FleetApi& fleet, const GatewaySettings& settings, GatewayBoard& board,
    const CoordinationController& coordination, LeadershipController& leadership, const WallClock& clock, Metrics& metrics, const EventLog& log)
    : store(store)
    , fleet(fleet)
    , settings(settings)
    , board(board)
    , coordination(coordination)
    , leadership(leadership)
    , clock(clock)
    , metrics(metrics)
    , log(log)
    , timer(loop, [this] { this->tick(); })
    , isAlive(std::make_shared<bool>(true))
{
    board.leadership.changed.connect([this](const Leadership& current) { this->leadershipChanged(current); });
}

UsageController::~UsageController()
{
    *this->isAlive = false;
}

auto UsageController::begin() -> void
{
    this->timer.startRepeating(tickPeriod);
}

auto UsageController::hasValidLease() const -> bool
{
    const auto& current = this->board.leadership.value();
    return current.isOwn && BootClock::now() < current.validUntil;
}

auto UsageController::windowAt(WallClock::Wall at) const -> UsageWindow
{
    return at / this->settings.bounds.usageWindow;
}

auto UsageController::isDue(UsageWindow window, WallClock::Wall at) const -> bool
{
    const auto end = (window + 1) * this->settings.bounds.usageWindow;
    return at >= end + reportDelay && at < end + this->settings.bounds.usageDue;
}

auto UsageController::leadershipChanged(const Leadership& current) -> void
{
    if (!current.isOwn || current.fence == this->fence)
        return;
    this->fence = current.fence;
    if (std::exchange(this->coordinationFence, current.coordinationFence) != current.coordinationFence)
        this->leadingSince = BootClock::now();
    this->record.release();
    this->isStoring = false;
    this->isFetching = false;
}

auto UsageController::tick() -> void
{
    if (!this->hasValidLease())
        return this->record.release();
    if (!this->record.isRead())
        return this->fetchRecord();
    if (this->record.isOutdated())
        this->renewRecord();
    const auto now = this->clock.at(EventLoop::now());
    for (auto window = this->windowAt(now) - dueWindows; window < this->windowAt(now); ++window) {
        if (!this->isDue(window, now) || this->reported.contains(window))
            continue;
        if (this->record.countsOf(window))
            this->reportWindow(window);
        else if (this->record.mayStore(window))
            this->storeWindow(window);
    }
}

auto UsageController::fetchRecord() -> void
{
    if (std::exchange(this->isFetching, true))
        return;
    this->store.get(usageKey, [this, usedFence = this->fence, alive = this->isAlive](std::error_code error, const std::optional<StoreEntry>& entry) {
        if (!*alive || usedFence != this->fence)
            return;
        this->isFetching = false;
        if (!error)
            this->readRecord(entry);
    });
}

auto UsageController::readRecord(const std::optional<StoreEntry>& entry) -> void
{
    this->revision = entry ? entry->revision : 0;
    const auto epoch = entry ? epochOf(entry->revision) : this->store.currentEpoch();
    for (const auto& name : this->record.read(entry ? std::optional(entry->value) : std::nullopt, epoch, this->lastStorable(this->leadingSince)))
        this->log.write(Event::UsageRecordUnreadable, { { "window", name } });
    if (this->record.isOutdated())
        this->renewRecord();
    if (this->record.closedUpTo() > 0)
        this->log.write(Event::UsageWindowsClosed, { { "window", std::to_string(this->record.closedUpTo()) }, { "epoch", std::to_string(epoch) }, { "fence", std::to_string(this->fence) } });
}

auto UsageController::lastStorable(BootClock::time_point moment) const -> UsageWindow
{
    const auto age = std::chrono::duration_cast<WallClock::Wall>(BootClock::now() - moment);
    return this->windowAt(this->clock.at(EventLoop::now()) - age + maxClockDifference - reportDelay) - 1;
}

auto UsageController::sumCounts(UsageWindow window) const -> UsageCounts
{
    UsageCounts sum;
    if (const auto& table = this->board.traffic.value().table) {
        for (const auto& workspace : table->configuration().workspaces)
            sum[workspace.name] = 0;
    }
    for (const auto& [id, node] : this->coordination.nodes()) {
        for (const auto* windows : { &node.windows, &node.earlierWindows }) {
            const auto found = windows->find(window);
            if (found == windows->end())
                continue;
            for (const auto& [workspace, count] : found->second)
                sum[workspace] += count;
        }
    }
    return sum;
}

auto UsageController::storeWindow(UsageWindow window) -> void
{
    this->write(this->record.propose(window, this->sumCounts(window)), [this, window] {
        this->log.write(Event::UsageStored, { { "window", std::to_string(window) }, { "fence", std::to_string(this->fence) } });
        if (this->hasValidLease())
            this->reportWindow(window);
    });
}

auto UsageController::renewRecord() -> void
{
    this->write(this->record.renewed(), [] {});
}

auto UsageController::write(UsageRecord::Proposal proposal, std::function<void()> onWritten) -> void
{
    if (std::exchange(this->isStoring, true))
        return;
    const StoreSwap swap { usageKey, this->revision, proposal.text, 0 };
    this->store.compareAndSwap(swap, [this, proposal = std::move(proposal), onWritten = std::move(onWritten), usedFence = this->fence, alive = this->isAlive](std::error_code error, const StoreSwapResult& result) {
        if (!*alive || usedFence != this->fence)
            return;
        this->isStoring = false;
        // The write failed or its outcome is unknown: the record is read again before anything is reported.
        if (error || !result.isSwapped)
            return this->record.release();
        this->revision = result.current.revision;
        this->record.acknowledge(proposal);
        onWritten();
    });
}

auto UsageController::reportWindow(UsageWindow window) -> void
{
    const auto* counts = this->record.countsOf(window);
    if (!counts || !this->inFlight.insert(window).second)
        return;
    const FencingToken mark { this->settings.id, this->fence };
    this->fleet.reportUsage(mark, window, *counts, [this, window, usedFence = this->fence, alive = this->isAlive](std::error_code error) {
        if (!*alive)
            return;
        this->inFlight.erase(window);
        if (!error) {
            this->reported.insert(window);
            while (this->reported.size() > keptReported)
                this->reported.erase(this->reported.begin());
            this->metrics.count("usage_reports_total");
            return this->log.write(Event::UsageReported, { { "window", std::to_string(window) }, { "fence", std::to_string(usedFence) } });
        }
        this->log.write(Event::UsageNotReported, { { "window", std::to_string(window) }, { "error", error.message() } });
        if (error == Error::StaleFence && usedFence == this->fence)
            this->leadership.superseded();
    });
}

auto UsageController::dumpState() const -> nlohmann::json
{
    return { { "stored_windows", this->record.size() }, { "closed_up_to", this->record.closedUpTo() }, { "reported_windows", this->reported.size() } };
}

} // namespace Primrosefork
