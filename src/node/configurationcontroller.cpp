#include "configurationcontroller.h"

#include "configurationrecord.h"
#include "eventlog.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto controllerName = "ConfigurationController";
constexpr auto firstRetryDelay = 200ms;
constexpr std::chrono::milliseconds longestRetryDelay = 2s;
constexpr std::chrono::milliseconds longestStartDelay = 500ms; ///< Longest delay while nothing is in force, as the node serves no request until then.
constexpr auto watchDelay = 200ms; ///< Pause before the next watch after a listing or a change, so that a burst of changes costs few calls.

auto withJitter(std::chrono::milliseconds delay) -> std::chrono::milliseconds
{
    static std::minstd_rand generator(std::random_device {}());
    return delay / 2 + std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(0, delay.count())(generator));
}

/** Returns \a entries reordered so that templates are applied before the services made from them. */
auto withTemplatesFirst(std::vector<StoreEntry> entries) -> std::vector<StoreEntry>
{
    const auto isService = [](const StoreEntry& entry) { return entry.key.starts_with("config/services/"); };
    std::stable_partition(entries.begin(), entries.end(), [&isService](const StoreEntry& entry) { return !isService(entry); });
    return entries;
}

} // namespace

ConfigurationController::ConfigurationController(EventLoop& loop, KeyValueStore& store, Blackboard& blackboard, const EventLog& log,
    const ConfigurationTimes& times)
    : loop(loop)
    , store(store)
    , configuration(blackboard.configuration.acquireWriter(controllerName))
    , log(log)
    , watchTime(times.watch)
    , restorer(loop, store, blackboard, log, times.longestRestoreDelay)
    , timer(loop, [this] { this->hasListed ? this->watchChanges() : this->listAll(); })
{
}

auto ConfigurationController::begin() -> void
{
    this->listAll();
}

auto ConfigurationController::listAll() -> void
{
    this->store.list(std::string(ConfigurationKeys::prefix),
        [this](std::error_code error, const StoreListing& listing) { this->listed(error, listing); });
}

auto ConfigurationController::watchChanges() -> void
{
    this->store.watch(std::string(ConfigurationKeys::prefix), this->watchedUpTo, this->watchTime,
        [this](std::error_code error, const StoreListing& listing) { this->watched(error, listing); });
}

auto ConfigurationController::listed(std::error_code error, const StoreListing& listing) -> void
{
    if (error)
        return this->storeFailed(error);
    this->storeAnswered();
    this->hasListed = true;
    this->watchedUpTo = listing.revision;
    this->apply(listing);
    this->findLostRecords(listing);
    this->timer.start(watchDelay);
}

auto ConfigurationController::watched(std::error_code error, const StoreListing& listing) -> void
{
    if (error)
        return this->storeFailed(error);
    this->storeAnswered();
    // A store restored from a backup restarts at a lower revision, and a watch from the old one would miss changes below it: list everything again.
    this->hasListed = listing.revision >= this->watchedUpTo;
    this->watchedUpTo = listing.revision;
    this->apply(listing);
    this->timer.start(listing.entries.empty() ? 0ms : watchDelay);
}

auto ConfigurationController::applyAccepted(const StoreEntry& entry) -> void
{
    if (!this->hasApplied)
        return; // The first record in force makes the node ready, so all records of the first listing must be applied together.
    auto next = this->configuration.value();
    this->cacheRecords({ { entry }, entry.revision });
    this->applyEntry(next, entry.key, entry.value);
    this->retryRejected(next);
    this->configuration.write(std::move(next));
}

auto ConfigurationController::apply(const StoreListing& listing) -> void
{
    if (listing.entries.empty() && this->hasApplied)
        return;
    this->cacheRecords(listing);
    this->hasApplied = true;
    auto next = this->configuration.value();
    for (const auto& entry : withTemplatesFirst(listing.entries)) {
        this->applyEntry(next, entry.key, entry.value);
        next.storeRevision = std::max(next.storeRevision, entry.revision);
    }
    this->retryRejected(next);
    this->log.write(Event::ConfigurationApplied, { { "store_revision", std::to_string(next.storeRevision) }, { "records", std::to_string(listing.entries.size()) } });
    this->configuration.write(std::move(next));
}

auto ConfigurationController::cacheRecords(const StoreListing& listing) -> void
{
    for (const auto& entry : listing.entries) {
        auto& held = this->records[entry.key];
        if (entry.revision >= held.revision)
            held = entry;
        this->highestRevision = std::max(this->highestRevision, entry.revision);
    }
}

auto ConfigurationController::applyFromPeer(const StoreListing& listing) -> void
{
    auto newer = listing;
    std::erase_if(newer.entries, [this](const StoreEntry& entry) {
        const auto held = this->records.find(entry.key);
        return held != this->records.end() && held->second.revision >= entry.revision;
    });
    if (!newer.entries.empty())
        this->apply(newer);
}

auto ConfigurationController::recordsAfter(StoreRevision after) const -> StoreListing
{
    StoreListing listing;
    listing.revision = this->highestRevision;
    for (const auto& [key, entry] : this->records) {
        if (entry.revision > after)
            listing.entries.push_back(entry);
    }
    return listing;
}

auto ConfigurationController::applyEntry(Configuration& next, const std::string& key, const std::string& value) -> void
{
    this->rejected.erase(key);
    if (isOlderRecord(next, key, value)) {
        this->log.write(Event::ConfigurationOlderIgnored, { { "key", key }, { "in_force", std::to_string(next.revisionOf(key)) } });
        return this->restorer.recordLost(key);
    }
    this->restorer.recordSeen(key);
    Findings findings;
    if (applyRecord(next, key, value, findings))
        return;
    this->rejected[key] = value;
    this->log.write(Event::ConfigurationRecordRejected, { { "key", key }, { "findings", formatFindings(findings) } });
}

auto ConfigurationController::retryRejected(Configuration& next) -> void
{
    std::erase_if(this->rejected, [&next](const auto& record) {
        Findings findings;
        return applyRecord(next, record.first, record.second, findings);
    });
}

auto ConfigurationController::findLostRecords(const StoreListing& listing) -> void
{
    std::set<std::string> listedKeys;
    for (const auto& entry : listing.entries)
        listedKeys.insert(entry.key);
    for (const auto& [key, record] : this->configuration.value().records) {
        if (!listedKeys.contains(key))
            this->restorer.recordLost(key);
    }
}

auto ConfigurationController::storeFailed(std::error_code error) -> void
{
    if (std::exchange(this->isStoreAvailable, false))
        this->log.write(Event::StoreUnavailable, { { "error", error.message() } });
    this->retryDelay = std::clamp<std::chrono::milliseconds>(this->retryDelay * 2, firstRetryDelay, this->hasApplied ? longestRetryDelay : longestStartDelay);
    this->timer.start(withJitter(this->retryDelay));
}

auto ConfigurationController::storeAnswered() -> void
{
    this->retryDelay = 0ms;
    if (!std::exchange(this->isStoreAvailable, true))
        this->log.write(Event::StoreRecovered);
}

auto ConfigurationController::dumpState() const -> nlohmann::json
{
    const auto& current = this->configuration.value();
    return { { "store_revision", current.storeRevision }, { "digest", current.digest() },
        { "store_available", this->isStoreAvailable }, { "lost_in_store", this->restorer.lostCount() }, { "rejected", this->rejected.size() },
        { "workspaces", current.workspaces.size() }, { "templates", current.templates.size() }, { "revisions", current.revisions } };
}

} // namespace Primrosefork
