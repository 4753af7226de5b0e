#pragma once

#include "adapter.h"
#include "leadershipcontroller.h"
#include "registrycontroller.h"
#include "relaycontroller.h"
#include "trafficcontroller.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>

namespace Primrosefork::Testkit {

/** The controllers of one node that follow the store. */
struct StoreFollower {
    StoreFollower(EventLoop& loop, HttpClient& client, GatewaySettings nodeSettings)
        : settings(std::move(nodeSettings))
        , systems(makePlatformSystems(client, settings))
        , traffic(loop, *systems.store, *systems.documents, settings.bounds, board, epochs, metrics, log)
        , registry(loop, *systems.store, *systems.documents, settings.bounds, board, log)
        , leadership(loop, *systems.store, settings, board, log)
        , relay(loop, settings, board, { &traffic.storeWatcher(), &registry.storeWatcher(), &leadership.storeWatcher() }, metrics, log)
        , observers(board.observers.acquireWriter("test"))
    {
        this->relay.configurationConfirmed.connect([this](StoreRevision newest, BootClock::time_point moment) {
            this->epochs.revisionSeen(newest);
            this->traffic.peerConfirmed(newest, moment);
        });
        this->epochs.changed.connect([this](StoreEpoch epoch) {
            for (auto* watcher : { &this->traffic.storeWatcher(), &this->registry.storeWatcher(), &this->leadership.storeWatcher() })
                watcher->storeRestored(epoch);
        });
        this->traffic.begin();
        this->registry.begin();
        this->systems.store->list("primrosefork/", [this, requestedAt = BootClock::now()](std::error_code error, const StoreListing& listing) {
            REQUIRE_FALSE(error);
            this->leadership.beginWith(listing, requestedAt);
        });
        this->relay.begin();
    }

    [[nodiscard]] auto version() const -> std::uint64_t
    {
        const auto& table = this->board.traffic.value().table;
        return table ? table->configuration().version : 0;
    }

    [[nodiscard]] auto lists(const std::string& id) const -> bool { return this->board.backendServers.value().contains(id); }

    GatewaySettings settings;
    GatewaySystems systems;
    GatewayBoard board;
    Metrics metrics;
    EventLog log { "error" };
    StoreEpochMonitor epochs { *systems.store, metrics, log };
    TrafficController traffic;
    RegistryController registry;
    LeadershipController leadership;
    RelayController relay;
    SectionWriter<Observers> observers;
};

} // namespace Primrosefork::Testkit
