#include "configurationrestorer.h"

#include "configurationrecord.h"
#include "eventlog.h"

#include <random>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto delayBetweenRecords = 20ms; ///< Pause before the next record is restored when several were lost.

auto randomDelay(std::chrono::milliseconds longest) -> std::chrono::milliseconds
{
    static std::minstd_rand generator(std::random_device {}());
    return std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(0, longest.count())(generator));
}

} // namespace

ConfigurationRestorer::ConfigurationRestorer(EventLoop& loop, KeyValueStore& store, const Blackboard& blackboard, const EventLog& log,
    std::chrono::milliseconds longestDelay)
    : store(store)
    , blackboard(blackboard)
    , log(log)
    , longestDelay(longestDelay)
    , timer(loop, [this] { this->restoreNext(); })
{
}

auto ConfigurationRestorer::recordLost(const std::string& key) -> void
{
    this->lost.insert(key);
    if (!this->timer.isRunning())
        this->startTimer();
}

auto ConfigurationRestorer::recordSeen(const std::string& key) -> void
{
    this->lost.erase(key);
}

auto ConfigurationRestorer::startTimer() -> void
{
    this->timer.start(randomDelay(this->longestDelay));
}

auto ConfigurationRestorer::retryLater(const std::string& key) -> void
{
    this->lost.insert(key);
    this->startTimer();
}

auto ConfigurationRestorer::restoreNext() -> void
{
    if (this->lost.empty())
        return;
    const auto key = *this->lost.begin();
    this->lost.erase(this->lost.begin());
    this->store.get(key, [this, key](std::error_code error, const std::optional<StoreEntry>& entry) { this->entryRead(key, error, entry); });
}

auto ConfigurationRestorer::entryRead(const std::string& key, std::error_code error, const std::optional<StoreEntry>& entry) -> void
{
    if (error)
        return this->retryLater(key);
    if (!this->lost.empty())
        this->timer.start(delayBetweenRecords);
    const auto& configuration = this->blackboard.configuration.value();
    if (entry && !isOlderRecord(configuration, key, entry->value))
        return;
    const StoreSwap swap { key, entry ? entry->revision : 0, *configuration.records.at(key), 0 };
    this->store.compareAndSwap(swap, [this, key](std::error_code swapError, const StoreSwapResult& result) {
        if (swapError)
            return this->retryLater(key);
        if (result.isSwapped)
            this->log.write(Event::ConfigurationRestored, { { "key", key }, { "revision", std::to_string(this->blackboard.configuration.value().revisionOf(key)) } });
    });
}

} // namespace Primrosefork
