#pragma once

#include "bookingclient.h"
#include "cluster.h"
#include "faultinjector.h"
#include "keyledger.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Primrosefork::Measure {

/**
 * Makes calls with new and repeated keys through several nodes while faults are
 * injected and cleared, and checks every answer with a KeyLedger.
 */
class MixedRun {
public:
    MixedRun(std::uint32_t seed, std::size_t requests);

    /** Makes all calls. Returns false when the cluster did not start or a node did not recover. */
    auto run() -> bool;

    [[nodiscard]] auto ledger() const -> const KeyLedger& { return this->keyLedger; }
    [[nodiscard]] auto faults() const -> const FaultInjector& { return this->injector; }
    [[nodiscard]] auto requestCount() const -> std::size_t { return this->callCount; }
    [[nodiscard]] auto keyCount() const -> std::size_t { return this->keys.size(); }

private:
    /** Concurrent calls with the same key. */
    struct Round {
        std::size_t key = 0;
        std::vector<std::shared_ptr<Testkit::BookingAnswer>> answers;
    };

    struct Key {
        std::string name;
        std::string body;
        bool wasUsed = false;
    };

    auto runBatch() -> bool;

    /** Makes one call each with as many new keys as there are nodes, one after the other, while the store is down. */
    auto runStoreOutage() -> bool;
    auto beginRounds(const std::vector<Fault>&) -> std::vector<Round>;
    auto beginRound() -> Round;
    auto beginCalls(std::size_t key, std::size_t count) -> Round;
    auto addKey() -> std::size_t;
    auto finishRounds(const std::vector<Round>&) -> void;
    auto repeatAllKeys() -> void;

    /** Clears all faults and waits until every node answers calls. Returns false when one does not in time. */
    auto waitForRecovery() -> bool;
    [[nodiscard]] auto chooseKey() -> std::size_t;

    std::size_t requests;
    Testkit::Cluster cluster;
    Testkit::BookingClient bookings;
    FaultInjector injector;
    KeyLedger keyLedger;
    std::vector<Key> keys;
    std::vector<std::size_t> batchKeys;
    std::size_t callCount = 0;
    int probes = 0;
};

} // namespace Primrosefork::Measure
