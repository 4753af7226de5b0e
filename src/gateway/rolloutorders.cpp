#include "rolloutorders.h"

#include "eventlog.h"

#include <algorithm>
#include <set>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::milliseconds watchStallTimeout = 2s; ///< A watch that hangs for longer would cost much of a short roll-out.

} // namespace

RolloutOrders::RolloutOrders(EventLoop& loop, KeyValueStore& store, const TrafficDocuments& documents, const EventLog& log)
    : documents(documents)
    , log(log)
    , watcher(loop, store, log, documents.rolloutPrefix(),
          { [this](const StoreListing& listing) { this->listed(listing); }, [this](const StoreListing& listing) { this->changed(listing); } }, { 0ms, watchStallTimeout })
{
}

auto RolloutOrders::serviceOf(const std::string& key) const -> std::string
{
    return key.substr(std::min(key.size(), this->documents.rolloutPrefix().size()));
}

auto RolloutOrders::listed(const StoreListing& listing) -> void
{
    std::set<std::string> present;
    for (const auto& entry : listing.entries) {
        present.insert(this->serviceOf(entry.key));
        this->apply(entry, true);
    }
    // What a copy of the store lacks was not withdrawn.
    const auto isSameStore = !this->epoch || *this->epoch == epochOf(listing.revision);
    for (auto entry = this->orders.begin(); entry != this->orders.end();) {
        const auto isGone = isSameStore && !present.contains(entry->first);
        if (isGone)
            this->deleted[entry->first] = true;
        entry = isGone ? this->orders.erase(entry) : std::next(entry);
    }
    this->epoch = epochOf(listing.revision);
}

auto RolloutOrders::changed(const StoreListing& listing) -> void
{
    for (const auto& entry : listing.entries) {
        if (!entry.isDeleted) {
            this->apply(entry, false);
            continue;
        }
        const auto service = this->serviceOf(entry.key);
        this->orders.erase(service);
        this->deleted[service] = true;
    }
}

auto RolloutOrders::apply(const StoreEntry& entry, bool isListed) -> void
{
    const auto service = this->serviceOf(entry.key);
    auto& known = this->orders[service];
    this->deleted.erase(service);
    if (known.order && known.revision == entry.revision)
        return;
    Findings findings;
    auto order = this->documents.decodeRollout(entry.key, entry.value, findings);
    if (!order) {
        this->log.write(Event::RolloutOrderUnreadable, { { "service", service }, { "findings", formatFindings(findings) } });
        return;
    }
    known = { std::move(order), entry.revision, isListed };
}

} // namespace Primrosefork
