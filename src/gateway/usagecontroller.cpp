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

using Json = nlohmann::json;

constexpr auto epochField = "epoch"; ///< Epoch of the store in which the record was written.
constexpr auto closedField = "closed";
constexpr auto usageKey = "primrosefork/usage";
constexpr std::chrono::milliseconds tickPeriod = 500ms;
constexpr std::chrono::milliseconds reportDelay = 1'700ms; ///< Time after the end of a window in which each node sends two reports and they arrive.
constexpr std::size_t keptWindows = 6; ///< Number of windows in the record; older ones are no longer due.

/** Returns the counts in \a json, or nothing when they are not a number for each workspace. */
auto readCounts(const Json& json) -> std::optional<UsageCounts>
{
    if (!json.is_object())
        return std::nullopt;
    UsageCounts counts;
    for (const auto& [workspace, count] : json.items()) {
        if (!count.is_number_unsigned())
            return std::nullopt;
        counts[workspace] = count.template get<std::uint64_t>();
    }
    return counts;
}

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

auto UsageController::tick() -> void
{
    if (!this->hasValidLease()) {
        this->record = {};
        return;
    }
    const auto currentFence = this->board.leadership.value().fence;
    if (this->fence != currentFence) {
        this->fence = currentFence;
        this->record = {};
        this->isStoring = false;
        this->isFetching = false;
    }
    if (!this->record.isLoaded)
        return this->fetchRecord();
    const auto now = this->clock.at(EventLoop::now());
    for (auto window = this->windowAt(now) - static_cast<UsageWindow>(keptWindows); window < this->windowAt(now); ++window) {
        if (!this->isDue(window, now) || this->reported.contains(window))
            continue;
        if (this->record.windows.contains(window))
            this->reportWindow(window);
        else if (!this->isLost(window))
            this->storeWindow(window);
    }
}

auto UsageController::isLost(UsageWindow window) const -> bool
{
    return window <= this->record.closed && !this->ownCounts.contains(window);
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
    Record read;
    read.isLoaded = true;
    if (entry) {
        read.revision = entry->revision;
        const auto json = Json::parse(entry->value, nullptr, false);
        if (json.is_object()) {
            for (const auto& [window, counts] : json.items()) {
                if (window == epochField || window == closedField)
                    continue;
                if (auto decoded = readCounts(counts))
                    read.windows[std::strtoll(window.c_str(), nullptr, 10)] = std::move(*decoded);
                else
                    this->log.write(Event::UsageRecordUnreadable, { { "window", window } });
            }
        }
    }
    // A record from a copy of the store may lack windows that were reported. Those that can have been stored before end now.
    const auto json = entry ? Json::parse(entry->value, nullptr, false) : Json();
    const auto writtenIn = json.is_object() && json.contains(epochField) && json[epochField].is_number_unsigned() ? json[epochField].get<StoreEpoch>() : 0;
    if (json.is_object() && json.contains(closedField) && json[closedField].is_number_integer())
        read.closed = json[closedField].get<UsageWindow>();
    if (writtenIn < epochOf(this->fence))
        read.closed = std::max(read.closed, this->windowAt(this->clock.at(EventLoop::now()) - reportDelay) - 1);
    this->record = std::move(read);
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
    if (this->isStoring)
        return;
    this->isStoring = true;
    auto windows = this->record.windows;
    const auto own = this->ownCounts.find(window);
    windows[window] = own != this->ownCounts.end() ? own->second : this->sumCounts(window);
    this->keepCounts(window, windows[window]);
    while (windows.size() > keptWindows)
        windows.erase(windows.begin());
    Json json = Json::object();
    for (const auto& [number, counts] : windows)
        json[std::to_string(number)] = counts;
    json[epochField] = epochOf(this->fence);
    json[closedField] = this->record.closed;
    this->store.compareAndSwap({ usageKey, this->record.revision, json.dump(-1, ' ', false, Json::error_handler_t::replace), 0 },
        [this, window, windows, usedFence = this->fence, alive = this->isAlive](std::error_code error, const StoreSwapResult& result) {
            if (!*alive || usedFence != this->fence)
                return;
            this->isStoring = false;
            // The write failed or its outcome is unknown: the record is read again before anything is reported.
            if (error || !result.isSwapped) {
                this->record = {};
                return;
            }
            this->record.windows = windows;
            this->record.revision = result.current.revision;
            if (this->hasValidLease())
                this->reportWindow(window);
        });
}

auto UsageController::keepCounts(UsageWindow window, const UsageCounts& counts) -> void
{
    this->ownCounts.emplace(window, counts);
    while (this->ownCounts.size() > 2 * keptWindows)
        this->ownCounts.erase(this->ownCounts.begin());
}

auto UsageController::reportWindow(UsageWindow window) -> void
{
    if (!this->inFlight.insert(window).second)
        return;
    const FencingToken mark { this->settings.id, this->fence };
    this->fleet.reportUsage(mark, window, this->record.windows[window], [this, window, usedFence = this->fence, alive = this->isAlive](std::error_code error) {
        if (!*alive)
            return;
        this->inFlight.erase(window);
        if (!error) {
            this->reported.insert(window);
            while (this->reported.size() > 2 * keptWindows)
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
    return { { "stored_windows", this->record.windows.size() }, { "reported_windows", this->reported.size() } };
}

} // namespace Primrosefork
