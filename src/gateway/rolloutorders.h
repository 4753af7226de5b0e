#pragma once

#include "rolloutorder.h"
#include "storewatcher.h"
#include "trafficdocuments.h"

#include <map>
#include <optional>
#include <string>

namespace Primrosefork {

class EventLog;

/** The order of a service as the store has it. */
struct OrderEntry {
    std::optional<RolloutOrder> order; ///< The last valid one; nothing while the key has never had one.
    StoreRevision revision = 0; ///< Revision of that write.
    bool isListed = false; ///< Whether it was read with a listing, which may be that of a copy, rather than as a change.
};

/**
 * Follows the operators' orders of roll-outs while this node leads.
 */
class RolloutOrders {
public:
    RolloutOrders(EventLoop&, KeyValueStore&, const TrafficDocuments&, const EventLog&);

    auto begin() -> void { this->watcher.begin(); }

    /** Returns whether the orders are known. */
    [[nodiscard]] auto isKnown() const -> bool { return this->epoch.has_value(); }

    /** Returns the orders by service; a service whose key does not exist has none. */
    [[nodiscard]] auto entries() const -> const std::map<std::string, OrderEntry>& { return this->orders; }

    /** Returns the epoch of the store from which the orders were listed. */
    [[nodiscard]] auto listingEpoch() const -> StoreEpoch { return this->epoch.value_or(0); }

    /** Returns whether the key of \a service was deleted since the listing. */
    [[nodiscard]] auto wasDeleted(const std::string& service) const -> bool { return this->deleted.contains(service) && this->deleted.at(service); }

private:
    auto listed(const StoreListing&) -> void;
    auto changed(const StoreListing&) -> void;
    auto apply(const StoreEntry&, bool isListed) -> void;
    [[nodiscard]] auto serviceOf(const std::string& key) const -> std::string;

    const TrafficDocuments& documents;
    const EventLog& log;
    std::map<std::string, OrderEntry> orders;
    std::map<std::string, bool> deleted;
    std::optional<StoreEpoch> epoch;
    StoreWatcher watcher;
};

} // namespace Primrosefork
