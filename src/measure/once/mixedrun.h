#pragma once

#include "bookingclient.h"
#include "cluster.h"
#include "faultscript.h"
#include "keyledger.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace Primrosefork::Measure {

/**
 * Makes calls with repeated keys through several nodes while faults come and
 * go, and holds every answer to the ledger.
 */
class MixedRun {
public:
    MixedRun(std::uint32_t seed, std::size_t requests);

    /** Returns false when the cluster did not start or a node did not come back. */
    auto run() -> bool;

    [[nodiscard]] auto ledger() const -> const KeyLedger& { return this->keyLedger; }
    [[nodiscard]] auto faults() const -> const FaultScript& { return this->script; }
    [[nodiscard]] auto requestCount() const -> std::size_t { return this->made; }
    [[nodiscard]] auto keyCount() const -> std::size_t { return this->keys.size(); }

private:
    /** One key with the asks for it that are open at the same time. */
    struct Round {
        std::size_t key = 0;
        std::vector<std::shared_ptr<Testkit::BookingAnswer>> answers;
    };

    struct Key {
        std::string name;
        std::string body;
        bool wasAsked = false;
    };

    auto runBatch() -> bool;

    /** Asks once for each of some new keys while the store is down. */
    auto runOutage() -> bool;
    auto beginRounds(const std::vector<Fault>&) -> std::vector<Round>;
    auto beginRound() -> Round;
    auto beginAsks(std::size_t key, std::size_t asks) -> Round;
    auto addKey() -> std::size_t;
    auto finishRounds(const std::vector<Round>&) -> void;
    auto askAll() -> void;

    /** Waits until every node answers calls again. */
    auto recover() -> bool;
    [[nodiscard]] auto chooseKey() -> std::size_t;

    std::size_t requests;
    Testkit::Cluster cluster;
    Testkit::BookingClient bookings;
    FaultScript script;
    KeyLedger keyLedger;
    std::vector<Key> keys;
    std::vector<std::size_t> keysOfBatch;
    std::size_t made = 0;
    int probes = 0;
};

} // namespace Primrosefork::Measure
